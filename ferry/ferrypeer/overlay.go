package ferrypeer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cactusferry.dev/ferry/ferryid"
)

const (
	// MaxLinks bounds the links of one process, those others asked for included.
	MaxLinks = 32

	tickEvery      = 100 * time.Millisecond
	heartbeatEvery = time.Second
	silentAfter    = 4 * time.Second
	// doubtAfter is a heartbeat, a tick and some delay: nothing heard for longer on a link with a digest offered is worth a dial beside it.
	doubtAfter       = 1300 * time.Millisecond
	suspectFor       = 3 * time.Second
	refreshEvery     = time.Minute
	refreshWithin    = 4 * time.Minute
	resyncEvery      = 30 * time.Second
	chooseEvery      = time.Second
	expireEvery      = 500 * time.Millisecond
	unwantedGrace    = 15 * time.Second
	leastLoadEvery   = 2 * time.Second
	loadsPerSecond   = 20
	refutesPerSecond = 50
	loadStepPermille = 50
)

// OverlayConfig is what an overlay's core is made from.
type OverlayConfig struct {
	Self   Member
	Seeds  []string
	Topics []Topic
}

// Overlay is the pure core of the overlay: inputs and the time go in, actions come out; it is owned by one goroutine.
type Overlay struct {
	cfg    OverlayConfig
	table  *table
	topics map[TopicName]*topicState
	names  []TopicName
	links  map[LinkID]*link
	ids    []LinkID
	byName map[ferryid.EntryName]*link
	listed map[ferryid.EntryName]listedEntry
	wanted map[ferryid.EntryName]time.Time
	dials  map[string]*attempt

	now         time.Time
	lastStep    time.Time
	chooseAt    time.Time
	chosenFor   uint64
	chooseDirty bool
	expireAt    time.Time
	probeAt     time.Time
	probes      uint64
	refreshAt   time.Time
	loadAt      time.Time
	refuteAt    time.Time
	resyncAt    time.Time
	volatileAt  time.Time
	resyncs     uint64
	want        SelfChanged
	leaving     bool
	replaced    bool
	counts      Counts
	out         []Action
}

type listedEntry struct {
	domain  ferryid.DomainName
	address string
}

// Counts are the overlay's counters by name, among them each CloseReason.
type Counts map[string]uint64

// NewOverlay returns a core that knows only itself.
func NewOverlay(cfg OverlayConfig, now time.Time) *Overlay {
	o := &Overlay{
		cfg:    cfg,
		table:  newTable(cfg.Self, now),
		topics: map[TopicName]*topicState{},
		links:  map[LinkID]*link{},
		byName: map[ferryid.EntryName]*link{},
		listed: map[ferryid.EntryName]listedEntry{},
		wanted: map[ferryid.EntryName]time.Time{},
		dials:  map[string]*attempt{},
		counts: Counts{},
		now:    now, lastStep: now, chooseDirty: true,
		want: SelfChanged{State: Ready},
	}
	for _, t := range append(o.table.topics(), cfg.Topics...) {
		o.topics[t.Name] = &topicState{Topic: t}
	}
	o.names = slices.Sorted(maps.Keys(o.topics))
	o.refreshAt = now.Add(o.jitter(refreshEvery, 0))
	o.resyncAt = now.Add(o.jitter(resyncEvery, 1))
	return o
}

// Topics returns the names of the topics, ordered, as they go into a hello.
func (o *Overlay) Topics() []TopicName { return o.names }

// Self returns this process's own member record, whose start may have been moved past an earlier incarnation's.
func (o *Overlay) Self() Member { return *o.table.self.Member }

// Members returns the membership now.
func (o *Overlay) Members() Members { return o.table.snapshot() }

// Changes counts the changes of the membership: of its structure (who, status, state), and of any detail.
func (o *Overlay) Changes() (structure, detail uint64) { return o.table.structure, o.table.detail }

// Links returns the names of the linked peers, ordered.
func (o *Overlay) Links() []ferryid.EntryName {
	return slices.Sorted(maps.Keys(o.byName))
}

// Counts returns a copy of the counters.
func (o *Overlay) Counts() Counts {
	out := maps.Clone(o.counts)
	out["Deaths"] = o.table.deaths
	out["NameConflicts"] = o.table.conflicts
	out["MembersRefused"] = o.table.refused
	return out
}

// Step takes one input at the given time and returns the actions it leads to.
func (o *Overlay) Step(in Input, now time.Time) []Action {
	o.now, o.table.now = now, now
	o.out = nil
	switch in := in.(type) {
	case Tick:
		o.tick()
	case Listed:
		o.list(in)
	case LinkUp:
		o.linkUp(in)
	case LinkDown:
		o.linkDown(in.Link)
	case DialFailed:
		o.dialFailed(in)
	case Received:
		o.receive(in)
	case Published:
		o.publish(in.Topic)
	case SelfChanged:
		o.want = in
	case Leaving:
		o.leave()
	}
	o.drainOwn()
	return o.out
}

func (o *Overlay) do(a Action) { o.out = append(o.out, a) }

func (o *Overlay) count(name string) { o.counts[name]++ }

func (o *Overlay) note(kind string, subject ferryid.EntryName, detail string) {
	o.do(Note{Kind: kind, Subject: string(subject), Detail: detail})
}

// jitter returns a duration below d that differs between processes and between the given numbers, and is the same each time.
func (o *Overlay) jitter(d time.Duration, n uint64) time.Duration {
	return time.Duration(float64(d) * fraction(xxhash.Sum64String(string(o.cfg.Self.Name))^mix(n+1)))
}

func (o *Overlay) tick() {
	o.wakeUp()
	if o.replaced || o.leaving {
		o.flush()
		return
	}
	if o.table.replaced {
		o.stopReplaced()
		return
	}
	o.closeSilent()
	o.dialDoubtful()
	if len(o.links) > 0 && !o.now.Before(o.expireAt) {
		o.expireAt = o.now.Add(expireEvery)
		o.table.expire(suspectFor, refreshWithin)
	}
	o.speakOfSelf()
	o.chooseAgain()
	o.closeUnwanted()
	o.dialWanted()
	o.probe()
	o.heartbeats()
	o.resync()
	o.drainOwn()
	o.flush()
}

// wakeUp keeps a process that did not run for a while from taking its own pause for everyone else's silence.
func (o *Overlay) wakeUp() {
	gap := o.now.Sub(o.lastStep)
	o.lastStep = o.now
	if gap < silentAfter/2 {
		return
	}
	o.count("Pauses")
	o.note("PeerPaused", o.cfg.Self.Name, gap.String())
	o.table.shift(gap)
	for _, l := range o.links {
		l.heard = l.heard.Add(gap)
	}
}

func (o *Overlay) stopReplaced() {
	o.replaced = true
	for _, id := range o.linkIDs() {
		o.closeLink(o.links[id], CloseReplaced)
	}
	o.do(Replaced{})
}

// speakOfSelf refutes accusations, and refreshes the own record when it is due or its state or load moved.
func (o *Overlay) speakOfSelf() {
	t := o.table
	t.self.Load = o.want.Load
	if t.accusedBeat >= t.self.Beat {
		o.refute()
		return
	}
	if t.self.State != o.want.State {
		t.self.State = o.want.State
		t.announce(true)
		o.note("PeerState", o.cfg.Self.Name, o.want.State.String())
		return
	}
	moved := absDiff(t.self.Load.Permille, t.rows[o.cfg.Self.Name].Load.Permille) >= loadStepPermille
	if o.now.Before(o.refreshAt) && (!moved || o.now.Before(o.loadAt)) {
		return
	}
	t.announce(false)
	o.refreshAt = o.now.Add(refreshEvery/2 + o.jitter(refreshEvery/2, t.self.Beat))
	every := max(leastLoadEvery, time.Duration(t.live())*time.Second/loadsPerSecond)
	o.loadAt = o.now.Add(every/2 + o.jitter(every, t.self.Beat))
}

// refute answers an accusation after a delay that grows with the live count, so that a healed cut brings no stampede.
func (o *Overlay) refute() {
	t := o.table
	if o.refuteAt.IsZero() {
		spread := time.Duration(t.live()) * time.Second / refutesPerSecond
		o.refuteAt = o.now.Add(o.jitter(min(spread, suspectFor/2), t.accusedBeat))
		return
	}
	if o.now.Before(o.refuteAt) {
		return
	}
	o.refuteAt = time.Time{}
	t.self.Beat = t.accusedBeat
	t.announce(true)
	o.count("Refutations")
}

func absDiff(a, b uint16) uint16 {
	return max(a, b) - min(a, b)
}

func (o *Overlay) leave() {
	o.leaving = true
	// There is no later digest for a peer that asked not to be pushed to.
	for _, l := range o.links {
		l.eager = true
	}
	o.table.self.Status = Left
	o.table.self.Until = o.now.Add(tombstoneFor).Unix()
	o.table.announce(true)
	o.drainOwn()
	o.flush()
}

// linkIDs returns the links' ids, ordered; the slice stays as it is while links come and go.
func (o *Overlay) linkIDs() []LinkID { return o.ids }

func sortedByName(m map[ferryid.EntryName]time.Time) []ferryid.EntryName {
	return slices.SortedFunc(maps.Keys(m), cmp.Compare)
}
