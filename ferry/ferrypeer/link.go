package ferrypeer

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryplatform"
)

const (
	firstBackoff     = 500 * time.Millisecond
	maxBackoff       = time.Minute
	notThereFor      = 30 * time.Second
	secondDialler    = 2 * time.Second
	maxDialsAtOnce   = 6
	probesPerSecond  = 2
	leastProbeEvery  = 5 * time.Second
	seedEvery        = time.Second
	failsToExclude   = 2
	maxListedEntries = 4096
	maxDoublings     = 10
	shortLived       = 5 * time.Second
	redirectMembers  = 64
)

// link is one connection that finished its hello.
type link struct {
	id         LinkID
	peer       Member
	dialled    bool
	verified   bool
	topics     []TopicName
	up         time.Time
	heard      time.Time
	beatAt     time.Time
	eager      bool
	peerWants  bool
	mismatches int
	unwantedAt time.Time
	pending    map[TopicName][]Item
	// offered says that a digest was offered and nothing has been heard since.
	offered bool
}

// attempt is the history of dialling one entry or seed.
type attempt struct {
	busy  bool
	fails int
	next  time.Time
}

func (o *Overlay) list(in Listed) {
	clear(o.listed)
	for _, i := range in.Instances {
		if i.Role != ferryplatform.RoleEntry || i.State != ferryplatform.StateLive || i.Name == string(o.cfg.Self.Name) {
			continue
		}
		if ferryid.CheckName(i.Name) != nil || ferryid.CheckName(string(i.FailureDomain)) != nil || i.PeerAddress == "" {
			o.count("BadListRows")
			continue
		}
		if len(o.listed) < maxListedEntries {
			o.listed[ferryid.EntryName(i.Name)] = listedEntry{domain: i.FailureDomain, address: i.PeerAddress}
		}
	}
	o.chooseDirty = true
}

func (o *Overlay) linkUp(in LinkUp) {
	if a := o.dials[in.Key]; a != nil && in.Dialled {
		a.busy = false
		a.next = o.now
	}
	l := &link{
		id: in.Link, peer: in.Peer, dialled: in.Dialled, topics: o.common(in.Topics),
		up: o.now, heard: o.now, eager: true, peerWants: true, pending: map[TopicName][]Item{},
	}
	l.beatAt = o.now.Add(o.jitter(heartbeatEvery, uint64(in.Link)))
	if reason := o.admit(l); reason != "" {
		o.refuse(l, reason)
		return
	}
	if o.table.joined.IsZero() {
		o.table.joined = o.now
	}
	o.links[l.id] = l
	o.ids = append(slices.Clone(o.ids), l.id)
	slices.Sort(o.ids)
	o.byName[l.peer.Name] = l
	o.chooseDirty = true
	o.note("PeerLinked", l.peer.Name, string(l.peer.Incarnation))
	o.table.merge(Record{Tag: l.peer.Tag(), Member: &l.peer, Status: Alive, State: Ready})
	o.do(Send{Link: l.id, Message: o.summary(l)})
	o.syncVolatile(l)
}

// refuse closes a new link; a peer refused for want of room first learns of others to turn to, and one that a later incarnation has replaced learns of that.
func (o *Overlay) refuse(l *link, reason CloseReason) {
	o.count(string(reason))
	if o.outdated(l) {
		o.send(l, topicMembers, []Item{encodeRecord(o.table.rows[l.peer.Name].Record)}, true)
	}
	if reason == CloseFull {
		items := o.topics[topicMembers].Missing(nil)
		slices.SortFunc(items, func(a, b Item) int {
			salt := uint64(l.id)
			return cmp.Compare(mix(xxhash.Sum64(a)^salt), mix(xxhash.Sum64(b)^salt))
		})
		o.send(l, topicMembers, items[:min(len(items), redirectMembers)], true)
	}
	o.do(CloseLink{Link: l.id, Reason: reason})
}

// admit decides whether a new link is kept, and closes the one it replaces; it returns the reason for refusing it.
func (o *Overlay) admit(l *link) CloseReason {
	if o.leaving || o.replaced {
		return CloseLeaving
	}
	if l.peer.Name == o.cfg.Self.Name {
		return CloseNotThere
	}
	known := o.table.rows[l.peer.Name]
	if known != nil && known.Tag == l.peer.Tag() && known.Status == Left {
		return CloseLeaving
	}
	old := o.byName[l.peer.Name]
	if old == nil {
		_, wanted := o.wanted[l.peer.Name]
		if len(o.links) >= MaxLinks || (!wanted && len(o.links) >= MaxLinks-targetLinks) {
			return CloseFull
		}
		return ""
	}
	if !o.prefer(l, old) {
		return CloseDuplicate
	}
	reason := CloseDuplicate
	if o.doubtful(old) {
		reason = CloseSilent
	}
	o.closeLink(old, reason)
	return ""
}

// prefer reports whether a new link to a peer is kept rather than the old one; both ends come to the same choice.
func (o *Overlay) prefer(l, old *link) bool {
	if l.peer.Tag() != old.peer.Tag() {
		return l.peer.newer(old.peer)
	}
	if o.doubtful(old) {
		return true
	}
	return o.byLower(l) || !o.byLower(old)
}

// byLower reports whether the link was dialled by the end with the lower name.
func (o *Overlay) byLower(l *link) bool {
	return l.dialled == (o.cfg.Self.Name < l.peer.Name)
}

func (o *Overlay) linkDown(id LinkID) {
	l := o.links[id]
	if l == nil {
		return
	}
	o.forget(l)
	o.note("PeerLost", l.peer.Name, "")
	if o.now.Sub(l.up) < shortLived {
		o.backOff(string(l.peer.Name), firstBackoff)
		return
	}
	delete(o.dials, string(l.peer.Name))
	o.redial(l.peer.Name)
}

func (o *Overlay) forget(l *link) {
	delete(o.links, l.id)
	o.ids = slices.DeleteFunc(slices.Clone(o.ids), func(id LinkID) bool { return id == l.id })
	if o.byName[l.peer.Name] == l {
		delete(o.byName, l.peer.Name)
	}
	o.chooseDirty = true
}

func (o *Overlay) closeLink(l *link, reason CloseReason) {
	o.forget(l)
	o.count(string(reason))
	o.note("PeerClosed", l.peer.Name, string(reason))
	o.do(CloseLink{Link: l.id, Reason: reason})
}

// redial tries a lost peer at once if its link was wanted, whichever end is to dial; its failure is what raises a suspicion.
func (o *Overlay) redial(name ferryid.EntryName) {
	r := o.table.rows[name]
	_, wanted := o.wanted[name]
	if !wanted || r == nil || r.gone() || o.leaving || o.byName[name] != nil {
		return
	}
	if a := o.dials[string(name)]; a != nil && a.busy {
		return
	}
	o.dial(string(name), name, r.Member.PeerAddress)
}

func (o *Overlay) closeSilent() {
	for _, id := range o.linkIDs() {
		l := o.links[id]
		if o.outdated(l) && o.now.Sub(l.up) >= shortLived {
			o.closeLink(l, CloseReplaced)
			continue
		}
		if o.now.Sub(l.heard) < silentAfter {
			continue
		}
		o.closeLink(l, CloseSilent)
		o.redial(l.peer.Name)
	}
}

// doubtful reports whether a link has been quiet for longer than heartbeats leave it.
func (o *Overlay) doubtful(l *link) bool {
	return o.now.Sub(l.heard) >= doubtAfter
}

// dialDoubtful dials beside quiet links over which a digest was offered; the new link replaces the old, and a failure accuses nobody.
func (o *Overlay) dialDoubtful() {
	for _, id := range o.linkIDs() {
		l := o.links[id]
		name := string(l.peer.Name)
		if !l.offered || !o.doubtful(l) || !o.dialDue(name) {
			continue
		}
		l.offered = false
		o.count("Doubts")
		o.dial(name, l.peer.Name, l.peer.PeerAddress)
	}
}

// outdated reports whether the link leads to an incarnation that a later one has replaced.
func (o *Overlay) outdated(l *link) bool {
	r := o.table.rows[l.peer.Name]
	return r != nil && r.Tag != l.peer.Tag() && r.Member.newer(l.peer)
}

// chooseAgain computes the wanted links when something they depend on changed, at most once a second.
func (o *Overlay) chooseAgain() {
	if o.chosenFor != o.table.structure {
		o.chooseDirty = true
	}
	if !o.chooseDirty || o.now.Before(o.chooseAt) {
		return
	}
	o.chooseAt = o.now.Add(chooseEvery)
	o.chooseDirty = false
	o.chosenFor = o.table.structure
	self := Candidate{Name: o.cfg.Self.Name, FailureDomain: o.cfg.Self.FailureDomain}
	next := map[ferryid.EntryName]time.Time{}
	for _, n := range ChooseLinks(self, o.candidates()) {
		since, ok := o.wanted[n]
		if !ok {
			since = o.now
		}
		next[n] = since
	}
	o.wanted = next
}

// candidates are the live members and the listed entries not known otherwise, without those that did not answer lately.
func (o *Overlay) candidates() []Candidate {
	out := make([]Candidate, 0, len(o.table.rows)+len(o.listed))
	add := func(n ferryid.EntryName, d ferryid.DomainName) {
		if o.excluded(n) {
			o.chooseDirty = true
			return
		}
		out = append(out, Candidate{Name: n, FailureDomain: d})
	}
	for n, r := range o.table.rows {
		if !r.gone() && n != o.cfg.Self.Name {
			add(n, r.Member.FailureDomain)
		}
	}
	for n, e := range o.listed {
		if o.table.rows[n] == nil {
			add(n, e.domain)
		}
	}
	return out
}

func (o *Overlay) excluded(n ferryid.EntryName) bool {
	a := o.dials[string(n)]
	return a != nil && a.fails >= failsToExclude && o.now.Before(a.next) && o.byName[n] == nil
}

// closeUnwanted drops links that neither end's computation chose for a while.
func (o *Overlay) closeUnwanted() {
	for _, id := range o.linkIDs() {
		l := o.links[id]
		_, mine := o.wanted[l.peer.Name]
		if mine || l.peerWants {
			l.unwantedAt = time.Time{}
			continue
		}
		if l.unwantedAt.IsZero() {
			l.unwantedAt = o.now
		}
		if o.now.Sub(l.unwantedAt) >= unwantedGrace {
			o.closeLink(l, CloseUnwanted)
		}
	}
}

func (o *Overlay) dialWanted() {
	for _, n := range sortedByName(o.wanted) {
		if o.byName[n] != nil || !o.dialDue(string(n)) {
			continue
		}
		address, known := o.addressOf(n)
		if known && o.cfg.Self.Name > n && o.now.Sub(o.wanted[n]) < secondDialler {
			continue
		}
		o.dial(string(n), n, address)
	}
}

func (o *Overlay) addressOf(n ferryid.EntryName) (address string, known bool) {
	if r := o.table.rows[n]; r != nil {
		return r.Member.PeerAddress, true
	}
	return o.listed[n].address, false
}

func (o *Overlay) dialDue(key string) bool {
	a := o.dials[key]
	if a != nil && (a.busy || o.now.Before(a.next)) {
		return false
	}
	busy := 0
	for _, a := range o.dials {
		if a.busy {
			busy++
		}
	}
	return busy < maxDialsAtOnce
}

func (o *Overlay) dial(key string, expect ferryid.EntryName, address string) {
	a := o.dials[key]
	if a == nil {
		a = &attempt{}
		o.dials[key] = a
	}
	a.busy = true
	o.count("Dials")
	o.do(Dial{Key: key, Expect: expect, Address: address})
}

func (o *Overlay) dialFailed(in DialFailed) {
	a := o.dials[in.Key]
	if a == nil {
		return
	}
	a.busy = false
	least := firstBackoff
	if in.Reason == CloseNotThere {
		least = notThereFor
	}
	o.backOff(in.Key, least)
	o.count("DialFailed." + string(in.Reason))
	name := ferryid.EntryName(in.Key)
	if o.byName[name] != nil {
		delete(o.dials, in.Key)
		return
	}
	accuses := in.Reason == CloseUnreachable || in.Reason == CloseNotThere || in.Reason == CloseSilent
	if r := o.table.rows[name]; accuses && r != nil && r.Status == Alive && len(o.links) > 0 {
		o.note("PeerSuspected", name, string(in.Reason))
		o.table.judge(name, Suspect)
	}
}

// backOff puts the next attempt off, twice as long with each failure.
func (o *Overlay) backOff(key string, least time.Duration) {
	a := o.dials[key]
	if a == nil {
		a = &attempt{}
		o.dials[key] = a
	}
	a.fails++
	wait := max(least, min(maxBackoff, firstBackoff<<min(a.fails, maxDoublings)))
	a.next = o.now.Add(wait/2 + o.jitter(wait, uint64(a.fails)))
	o.chooseDirty = true
}

// probe looks for entries that the membership does not show: seeds while there is no link, and at a fleet-wide rate whatever a cut may have hidden.
func (o *Overlay) probe() {
	o.pruneDials()
	if o.now.Before(o.probeAt) {
		return
	}
	o.probes++
	every := max(leastProbeEvery, time.Duration(o.table.live())*time.Second/probesPerSecond)
	if len(o.links) == 0 {
		every = seedEvery * time.Duration(min(10, o.probes))
	}
	o.probeAt = o.now.Add(every/2 + o.jitter(every, o.probes))
	targets := o.probeTargets()
	if d, ok := o.verify(); ok {
		targets = []Dial{d}
	}
	if len(targets) == 0 {
		return
	}
	t := targets[int(mix(o.probes+uint64(o.table.self.Tag))%uint64(len(targets)))]
	if o.dialDue(t.Key) {
		o.dial(t.Key, t.Expect, t.Address)
	}
}

// verify returns a dial to the address of a peer that dialled us, once for each link: an earlier incarnation that was paused can dial, but a later one answers at its address.
func (o *Overlay) verify() (Dial, bool) {
	for _, id := range o.linkIDs() {
		l := o.links[id]
		if l.dialled || l.verified || o.now.Sub(l.up) < shortLived {
			continue
		}
		l.verified = true
		return Dial{Key: "verify " + string(l.peer.Name), Expect: l.peer.Name, Address: l.peer.PeerAddress}, true
	}
	return Dial{}, false
}

func (o *Overlay) probeTargets() []Dial {
	live := map[string]bool{o.cfg.Self.PeerAddress: true}
	gone := map[ferryid.EntryName]time.Time{}
	var out []Dial
	for n, r := range o.table.rows {
		if !r.gone() {
			live[r.Member.PeerAddress] = true
		}
		if r.Status == Dead {
			gone[n] = r.statusAt
		}
	}
	for _, n := range sortedByName(gone) {
		address := o.table.rows[n].Member.PeerAddress
		if !live[address] {
			out = append(out, Dial{Key: string(n), Expect: n, Address: address})
		}
	}
	for _, s := range o.cfg.Seeds {
		if !live[s] {
			out = append(out, Dial{Key: "seed " + s, Address: s})
		}
	}
	return out
}

// pruneDials forgets the histories of entries that nobody speaks of any more.
func (o *Overlay) pruneDials() {
	for k, a := range o.dials {
		if !a.busy && o.now.Sub(a.next) > maxBackoff {
			delete(o.dials, k)
		}
	}
}
