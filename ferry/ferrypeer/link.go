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
	firstBackoff        = 500 * time.Millisecond
	maxBackoff          = time.Minute
	notThereBackoff     = 30 * time.Second
	higherNameDialDelay = 2 * time.Second
	maxConcurrentDials  = 6
	probesPerSecond     = 2
	minProbeInterval    = 5 * time.Second
	seedInterval        = time.Second
	failuresToExclude   = 2
	maxListedEntries    = 4096
	maxBackoffDoublings = 10
	minLinkLifetime     = 5 * time.Second
	maxRedirectMembers  = 64
)

// link is a connection that has completed its handshake.
type link struct {
	id            LinkID
	peer          Member
	dialled       bool
	verified      bool
	topics        []TopicName
	upSince       time.Time
	lastReceived  time.Time
	nextHeartbeat time.Time
	// eager is set if new items are pushed on the link; a lazy link only gets them as answers to digests.
	eager        bool
	wantedByPeer bool
	// mismatches counts the consecutive heartbeats whose hash differed from the local one.
	mismatches    int
	unwantedSince time.Time
	pending       map[TopicName][]Item
	// digestOffered is set if a digest was offered and nothing has been received since.
	digestOffered bool
}

// dialState is the dial history of one entry or seed.
type dialState struct {
	inProgress bool
	failures   int
	nextDial   time.Time
}

func (o *Overlay) updateListed(in Listed) {
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
		a.inProgress = false
		a.nextDial = o.now
	}
	l := &link{
		id: in.Link, peer: in.Peer, dialled: in.Dialled, topics: o.commonTopics(in.Topics),
		upSince: o.now, lastReceived: o.now, eager: true, wantedByPeer: true, pending: map[TopicName][]Item{},
	}
	l.nextHeartbeat = o.now.Add(o.jitter(heartbeatInterval, uint64(in.Link)))
	if reason := o.admit(l); reason != "" {
		o.rejectLink(l, reason)
		return
	}
	if o.table.firstLinkAt.IsZero() {
		o.table.firstLinkAt = o.now
	}
	o.links[l.id] = l
	o.sortedIDs = append(slices.Clone(o.sortedIDs), l.id)
	slices.Sort(o.sortedIDs)
	o.byName[l.peer.Name] = l
	o.chooseDirty = true
	o.note("PeerLinked", l.peer.Name, string(l.peer.Incarnation))
	o.table.merge(Record{Tag: l.peer.Tag(), Member: &l.peer, Status: Alive, State: Ready})
	o.emit(Send{Link: l.id, Message: o.summary(l)})
	o.syncVolatile(l)
}

// rejectLink closes a new link.
// It first sends the peer other members to connect to if there is no free link, and the record of the later
// incarnation if the peer has been replaced.
func (o *Overlay) rejectLink(l *link, reason CloseReason) {
	o.count(string(reason))
	if o.outdated(l) {
		o.sendItems(l, topicMembers, []Item{encodeRecord(o.table.rows[l.peer.Name].Record)}, true)
	}
	if reason == CloseFull {
		items := o.topics[topicMembers].Missing(nil)
		slices.SortFunc(items, func(a, b Item) int {
			salt := uint64(l.id)
			return cmp.Compare(mix(xxhash.Sum64(a)^salt), mix(xxhash.Sum64(b)^salt))
		})
		o.sendItems(l, topicMembers, items[:min(len(items), maxRedirectMembers)], true)
	}
	o.emit(CloseLink{Link: l.id, Reason: reason})
}

// admit decides whether a new link is kept and closes the link that it replaces.
// It returns the reason for refusing the new link, or an empty string.
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
	if o.overdue(old) {
		reason = CloseSilent
	}
	o.closeLink(old, reason)
	return ""
}

// prefer reports whether a new link to a peer replaces the old one; both ends make the same choice.
func (o *Overlay) prefer(l, old *link) bool {
	if l.peer.Tag() != old.peer.Tag() {
		return l.peer.newer(old.peer)
	}
	if o.overdue(old) {
		return true
	}
	return o.dialledByLowerName(l) || !o.dialledByLowerName(old)
}

// dialledByLowerName reports whether the link was dialled by the end with the lower name.
func (o *Overlay) dialledByLowerName(l *link) bool {
	return l.dialled == (o.cfg.Self.Name < l.peer.Name)
}

func (o *Overlay) linkDown(id LinkID) {
	l := o.links[id]
	if l == nil {
		return
	}
	o.removeLink(l)
	o.note("PeerLost", l.peer.Name, "")
	if o.now.Sub(l.upSince) < minLinkLifetime {
		o.backOff(string(l.peer.Name), firstBackoff)
		return
	}
	delete(o.dials, string(l.peer.Name))
	o.redial(l.peer.Name)
}

func (o *Overlay) removeLink(l *link) {
	delete(o.links, l.id)
	o.sortedIDs = slices.DeleteFunc(slices.Clone(o.sortedIDs), func(id LinkID) bool { return id == l.id })
	if o.byName[l.peer.Name] == l {
		delete(o.byName, l.peer.Name)
	}
	o.chooseDirty = true
}

func (o *Overlay) closeLink(l *link, reason CloseReason) {
	o.removeLink(l)
	o.count(string(reason))
	o.note("PeerClosed", l.peer.Name, string(reason))
	o.emit(CloseLink{Link: l.id, Reason: reason})
}

// redial dials a lost peer at once if its link is wanted, regardless of which end usually dials.
// A failure of this dial raises a suspicion.
func (o *Overlay) redial(name ferryid.EntryName) {
	r := o.table.rows[name]
	_, wanted := o.wanted[name]
	if !wanted || r == nil || r.gone() || o.leaving || o.byName[name] != nil {
		return
	}
	if a := o.dials[string(name)]; a != nil && a.inProgress {
		return
	}
	o.dial(string(name), name, r.Member.PeerAddress)
}

func (o *Overlay) closeSilentLinks() {
	for _, id := range o.linkIDs() {
		l := o.links[id]
		if o.outdated(l) && o.now.Sub(l.upSince) >= minLinkLifetime {
			o.closeLink(l, CloseReplaced)
			continue
		}
		if o.now.Sub(l.lastReceived) < silenceTimeout {
			continue
		}
		o.closeLink(l, CloseSilent)
		o.redial(l.peer.Name)
	}
}

// overdue reports whether the next heartbeat on a link is overdue.
func (o *Overlay) overdue(l *link) bool {
	return o.now.Sub(l.lastReceived) >= overdueAfter
}

// dialOverdue opens a second connection to peers with an overdue heartbeat and an unanswered digest offer.
// The new link replaces the old one; a failed dial raises no suspicion while the old link exists.
func (o *Overlay) dialOverdue() {
	for _, id := range o.linkIDs() {
		l := o.links[id]
		name := string(l.peer.Name)
		if !l.digestOffered || !o.overdue(l) || !o.canDial(name) {
			continue
		}
		l.digestOffered = false
		o.count("Doubts")
		o.dial(name, l.peer.Name, l.peer.PeerAddress)
	}
}

// outdated reports whether the peer of the link has been replaced by a later incarnation.
func (o *Overlay) outdated(l *link) bool {
	r := o.table.rows[l.peer.Name]
	return r != nil && r.Tag != l.peer.Tag() && r.Member.newer(l.peer)
}

// updateWanted recomputes the wanted links after a change of their inputs, at most once per chooseInterval.
func (o *Overlay) updateWanted() {
	if o.chosenStructure != o.table.structure {
		o.chooseDirty = true
	}
	if !o.chooseDirty || o.now.Before(o.nextChoice) {
		return
	}
	o.nextChoice = o.now.Add(chooseInterval)
	o.chooseDirty = false
	o.chosenStructure = o.table.structure
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

// candidates returns the live members and the listed entries that are not members,
// without those excluded after failed dials.
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
	return a != nil && a.failures >= failuresToExclude && o.now.Before(a.nextDial) && o.byName[n] == nil
}

// closeUnwantedLinks closes links that neither end has wanted for unwantedGrace.
func (o *Overlay) closeUnwantedLinks() {
	for _, id := range o.linkIDs() {
		l := o.links[id]
		_, wanted := o.wanted[l.peer.Name]
		if wanted || l.wantedByPeer {
			l.unwantedSince = time.Time{}
			continue
		}
		if l.unwantedSince.IsZero() {
			l.unwantedSince = o.now
		}
		if o.now.Sub(l.unwantedSince) >= unwantedGrace {
			o.closeLink(l, CloseUnwanted)
		}
	}
}

func (o *Overlay) dialWanted() {
	for _, n := range sortedByName(o.wanted) {
		if o.byName[n] != nil || !o.canDial(string(n)) {
			continue
		}
		address, known := o.addressOf(n)
		if known && o.cfg.Self.Name > n && o.now.Sub(o.wanted[n]) < higherNameDialDelay {
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

func (o *Overlay) canDial(key string) bool {
	a := o.dials[key]
	if a != nil && (a.inProgress || o.now.Before(a.nextDial)) {
		return false
	}
	dialling := 0
	for _, a := range o.dials {
		if a.inProgress {
			dialling++
		}
	}
	return dialling < maxConcurrentDials
}

func (o *Overlay) dial(key string, expect ferryid.EntryName, address string) {
	a := o.dials[key]
	if a == nil {
		a = &dialState{}
		o.dials[key] = a
	}
	a.inProgress = true
	o.count("Dials")
	o.emit(Dial{Key: key, Expect: expect, Address: address})
}

func (o *Overlay) dialFailed(in DialFailed) {
	a := o.dials[in.Key]
	if a == nil {
		return
	}
	a.inProgress = false
	minWait := firstBackoff
	if in.Reason == CloseNotThere {
		minWait = notThereBackoff
	}
	o.backOff(in.Key, minWait)
	o.count("DialFailed." + string(in.Reason))
	name := ferryid.EntryName(in.Key)
	if o.byName[name] != nil {
		delete(o.dials, in.Key)
		return
	}
	raisesSuspicion := in.Reason == CloseUnreachable || in.Reason == CloseNotThere || in.Reason == CloseSilent
	if r := o.table.rows[name]; raisesSuspicion && r != nil && r.Status == Alive && len(o.links) > 0 {
		o.note("PeerSuspected", name, string(in.Reason))
		o.table.setStatus(name, Suspect)
	}
}

// backOff schedules the next dial with exponential backoff and jitter.
func (o *Overlay) backOff(key string, minWait time.Duration) {
	a := o.dials[key]
	if a == nil {
		a = &dialState{}
		o.dials[key] = a
	}
	a.failures++
	wait := max(minWait, min(maxBackoff, firstBackoff<<min(a.failures, maxBackoffDoublings)))
	a.nextDial = o.now.Add(wait/2 + o.jitter(wait, uint64(a.failures)))
	o.chooseDirty = true
}

// probe dials the target of verifyTarget, or else a seed or dead member whose address no live member has.
// The interval is short while there is no link. Otherwise the probes have a bounded fleet-wide rate; they find
// entries that a network partition may have hidden.
func (o *Overlay) probe() {
	o.pruneDials()
	if o.now.Before(o.nextProbe) {
		return
	}
	o.probes++
	interval := max(minProbeInterval, time.Duration(o.table.liveCount())*time.Second/probesPerSecond)
	if len(o.links) == 0 {
		interval = seedInterval * time.Duration(min(10, o.probes))
	}
	o.nextProbe = o.now.Add(interval/2 + o.jitter(interval, o.probes))
	targets := o.probeTargets()
	if d, ok := o.verifyTarget(); ok {
		targets = []Dial{d}
	}
	if len(targets) == 0 {
		return
	}
	t := targets[int(mix(o.probes+uint64(o.table.self.Tag))%uint64(len(targets)))]
	if o.canDial(t.Key) {
		o.dial(t.Key, t.Expect, t.Address)
	}
}

// verifyTarget returns a dial to the address of a peer that dialled this process, once per link.
// A paused earlier incarnation can still dial, but the later incarnation answers at its address.
func (o *Overlay) verifyTarget() (Dial, bool) {
	for _, id := range o.linkIDs() {
		l := o.links[id]
		if l.dialled || l.verified || o.now.Sub(l.upSince) < minLinkLifetime {
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
			gone[n] = r.statusSince
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

// pruneDials removes dial histories whose next dial has been due for more than maxBackoff.
func (o *Overlay) pruneDials() {
	for k, a := range o.dials {
		if !a.inProgress && o.now.Sub(a.nextDial) > maxBackoff {
			delete(o.dials, k)
		}
	}
}
