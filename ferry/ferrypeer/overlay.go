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
	// MaxLinks is the maximum number of links of one process, including those dialled by peers.
	MaxLinks = 32

	tickInterval      = 100 * time.Millisecond
	heartbeatInterval = time.Second
	silenceTimeout    = 4 * time.Second
	// overdueAfter is a heartbeat interval, a tick and some network delay. A link with an unanswered digest offer
	// and a longer silence is tested by a second dial.
	overdueAfter     = 1300 * time.Millisecond
	suspectTimeout   = 3 * time.Second
	refreshInterval  = time.Minute
	refreshTimeout   = 4 * time.Minute
	resyncInterval   = 30 * time.Second
	chooseInterval   = time.Second
	expireInterval   = 500 * time.Millisecond
	unwantedGrace    = 15 * time.Second
	minLoadInterval  = 2 * time.Second
	loadsPerSecond   = 20
	refutesPerSecond = 50
	loadStepPermille = 50
)

// OverlayConfig is the configuration of an Overlay.
type OverlayConfig struct {
	Self   Member
	Seeds  []string
	Topics []Topic
}

// Overlay is the core of a Node: a state machine that maps inputs and the time to actions and performs no I/O.
// It is not safe for concurrent use.
type Overlay struct {
	cfg        OverlayConfig
	table      *table
	topics     map[TopicName]*topicState
	topicNames []TopicName
	links      map[LinkID]*link
	sortedIDs  []LinkID
	byName     map[ferryid.EntryName]*link
	listed     map[ferryid.EntryName]listedEntry
	// wanted holds the entries that ChooseLinks selected, each with the time since when.
	wanted map[ferryid.EntryName]time.Time
	// dials is keyed by Dial.Key: an entry's name, or a seed or a link to verify with a prefix.
	dials map[string]*dialState

	now             time.Time
	lastStep        time.Time
	nextChoice      time.Time
	chosenStructure uint64
	chooseDirty     bool
	nextExpire      time.Time
	nextProbe       time.Time
	probes          uint64
	nextRefresh     time.Time
	nextLoad        time.Time
	nextRefute      time.Time
	nextResync      time.Time
	nextVolatile    time.Time
	resyncs         uint64
	desired         SelfChanged
	leaving         bool
	replaced        bool
	counts          Counts
	actions         []Action
}

type listedEntry struct {
	domain  ferryid.DomainName
	address string
}

// Counts holds the overlay's counters by name, including one for each CloseReason.
type Counts map[string]uint64

// NewOverlay returns an overlay whose only member is this process.
func NewOverlay(cfg OverlayConfig, now time.Time) *Overlay {
	o := &Overlay{
		cfg:    cfg,
		table:  newTable(cfg.Self, now),
		topics: map[TopicName]*topicState{},
		links:  map[LinkID]*link{},
		byName: map[ferryid.EntryName]*link{},
		listed: map[ferryid.EntryName]listedEntry{},
		wanted: map[ferryid.EntryName]time.Time{},
		dials:  map[string]*dialState{},
		counts: Counts{},
		now:    now, lastStep: now, chooseDirty: true,
		desired: SelfChanged{State: Ready},
	}
	for _, t := range append(o.table.topics(), cfg.Topics...) {
		o.topics[t.Name] = &topicState{Topic: t}
	}
	o.topicNames = slices.Sorted(maps.Keys(o.topics))
	o.nextRefresh = now.Add(o.jitter(refreshInterval, 0))
	o.nextResync = now.Add(o.jitter(resyncInterval, 1))
	return o
}

// Topics returns the sorted names of the topics, as sent in a hello.
func (o *Overlay) Topics() []TopicName { return o.topicNames }

// Self returns the member record of this process.
//
// Started may have been moved past that of an earlier incarnation whose clock was ahead.
func (o *Overlay) Self() Member { return *o.table.self.Member }

// Members returns a snapshot of the membership.
func (o *Overlay) Members() Members { return o.table.snapshot() }

// Changes returns two change counters of the membership: structural (members, status, state) and any change.
func (o *Overlay) Changes() (structure, detail uint64) { return o.table.structure, o.table.detail }

// Links returns the sorted names of the linked peers.
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

// Step processes one input at the given time and returns the resulting actions.
func (o *Overlay) Step(in Input, now time.Time) []Action {
	o.now, o.table.now = now, now
	o.actions = nil
	switch in := in.(type) {
	case Tick:
		o.tick()
	case Listed:
		o.updateListed(in)
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
		o.desired = in
	case Leaving:
		o.leave()
	}
	o.queueOwnChanges()
	return o.actions
}

func (o *Overlay) emit(a Action) { o.actions = append(o.actions, a) }

func (o *Overlay) count(name string) { o.counts[name]++ }

func (o *Overlay) note(kind string, subject ferryid.EntryName, detail string) {
	o.emit(Note{Kind: kind, Subject: string(subject), Detail: detail})
}

// jitter returns a deterministic pseudo-random duration in [0, d) that depends on the process's name and n.
func (o *Overlay) jitter(d time.Duration, n uint64) time.Duration {
	return time.Duration(float64(d) * fraction(xxhash.Sum64String(string(o.cfg.Self.Name))^mix(n+1)))
}

func (o *Overlay) tick() {
	o.compensatePause()
	if o.replaced || o.leaving {
		o.flush()
		return
	}
	if o.table.replaced {
		o.stopReplaced()
		return
	}
	o.closeSilentLinks()
	o.dialOverdue()
	if len(o.links) > 0 && !o.now.Before(o.nextExpire) {
		o.nextExpire = o.now.Add(expireInterval)
		o.table.expire(suspectTimeout, refreshTimeout)
	}
	o.refreshSelf()
	o.updateWanted()
	o.closeUnwantedLinks()
	o.dialWanted()
	o.probe()
	o.sendHeartbeats()
	o.resync()
	o.queueOwnChanges()
	o.flush()
}

// compensatePause detects that this process was paused and shifts its timers,
// so that the pause is not mistaken for silence of the peers.
func (o *Overlay) compensatePause() {
	gap := o.now.Sub(o.lastStep)
	o.lastStep = o.now
	if gap < silenceTimeout/2 {
		return
	}
	o.count("Pauses")
	o.note("PeerPaused", o.cfg.Self.Name, gap.String())
	o.table.shift(gap)
	for _, l := range o.links {
		l.lastReceived = l.lastReceived.Add(gap)
	}
}

func (o *Overlay) stopReplaced() {
	o.replaced = true
	for _, id := range o.linkIDs() {
		o.closeLink(o.links[id], CloseReplaced)
	}
	o.emit(Replaced{})
}

// refreshSelf refutes suspicions of this process and publishes its own record when it is due or has changed.
func (o *Overlay) refreshSelf() {
	t := o.table
	t.self.Load = o.desired.Load
	if t.suspectedBeat >= t.self.Beat {
		o.refute()
		return
	}
	if t.self.State != o.desired.State {
		t.self.State = o.desired.State
		t.announce(true)
		o.note("PeerState", o.cfg.Self.Name, o.desired.State.String())
		return
	}
	loadChanged := absDiff(t.self.Load.Permille, t.rows[o.cfg.Self.Name].Load.Permille) >= loadStepPermille
	if o.now.Before(o.nextRefresh) && (!loadChanged || o.now.Before(o.nextLoad)) {
		return
	}
	t.announce(false)
	o.nextRefresh = o.now.Add(refreshInterval/2 + o.jitter(refreshInterval/2, t.self.Beat))
	interval := max(minLoadInterval, time.Duration(t.liveCount())*time.Second/loadsPerSecond)
	o.nextLoad = o.now.Add(interval/2 + o.jitter(interval, t.self.Beat))
}

// refute publishes a higher heartbeat count after a random delay that grows with the number of live members.
// The delay avoids a burst of refutations after a network partition has healed.
func (o *Overlay) refute() {
	t := o.table
	if o.nextRefute.IsZero() {
		maxDelay := time.Duration(t.liveCount()) * time.Second / refutesPerSecond
		o.nextRefute = o.now.Add(o.jitter(min(maxDelay, suspectTimeout/2), t.suspectedBeat))
		return
	}
	if o.now.Before(o.nextRefute) {
		return
	}
	o.nextRefute = time.Time{}
	t.self.Beat = t.suspectedBeat
	t.announce(true)
	o.count("Refutations")
}

func absDiff(a, b uint16) uint16 {
	return max(a, b) - min(a, b)
}

func (o *Overlay) leave() {
	o.leaving = true
	// A lazy link would only get the Left record by a later digest, which this process no longer sends.
	for _, l := range o.links {
		l.eager = true
	}
	o.table.self.Status = Left
	o.table.self.Until = o.now.Add(tombstoneTTL).Unix()
	o.table.announce(true)
	o.queueOwnChanges()
	o.flush()
}

// linkIDs returns the sorted IDs of the links; the slice is copied on write, so it can be iterated during changes.
func (o *Overlay) linkIDs() []LinkID { return o.sortedIDs }

func sortedByName(m map[ferryid.EntryName]time.Time) []ferryid.EntryName {
	return slices.SortedFunc(maps.Keys(m), cmp.Compare)
}
