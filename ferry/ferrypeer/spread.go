package ferrypeer

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	mismatchesToRepair = 2
	minEagerLinks      = 2
	// smallFleetEagerLinks replaces minEagerLinks in fleets of up to smallFleetMembers members. With so few members,
	// two eager links each can leave disconnected groups until a repair, and twice as many copies cost little.
	smallFleetEagerLinks = 4
	smallFleetMembers    = 32
	// minEagerCrossDomain keeps eager links into other failure domains, so that no domain depends on repairs alone.
	minEagerCrossDomain = 1
	maxPendingItems     = 4096
	maxPushBytes        = 64 << 10
	pullTimeout         = 2 * time.Second
	volatileInterval    = 500 * time.Millisecond
)

// topicState is a topic with its digest cache and pull state.
type topicState struct {
	Topic
	hash         uint64
	hashAt       time.Time
	pullDeadline time.Time
	// pulledHash is the hash of the digest last answered with a pull.
	pulledHash uint64
}

func (t *topicState) pullOnly() bool { return t.TakeChanged == nil }

// shouldPull reports whether to request the items of a peer with this digest.
// Each digest is pulled once until pullTimeout has passed without an answer.
func (t *topicState) shouldPull(digest []byte, now time.Time) bool {
	if !t.pullOnly() {
		return true
	}
	h := xxhash.Sum64(digest)
	if h == t.pulledHash && now.Before(t.pullDeadline) {
		return false
	}
	t.pulledHash = h
	t.pullDeadline = now.Add(pullTimeout)
	return true
}

// hashOf returns the hash of a topic's digest; it is computed at most once per step.
func (o *Overlay) hashOf(t *topicState) uint64 {
	if !t.hashAt.Equal(o.now) {
		t.hash = xxhash.Sum64(t.Digest())
		t.hashAt = o.now
	}
	return t.hash
}

func (o *Overlay) commonTopics(peerTopics []TopicName) []TopicName {
	var out []TopicName
	for _, n := range o.topicNames {
		if slices.Contains(peerTopics, n) {
			out = append(out, n)
		}
	}
	return out
}

// comparedTopics returns the non-volatile topics of a link, which are compared on each heartbeat.
func (o *Overlay) comparedTopics(l *link) []*topicState {
	var out []*topicState
	for _, n := range l.topics {
		if t := o.topics[n]; !t.Volatile {
			out = append(out, t)
		}
	}
	return out
}

func (o *Overlay) combinedHash(l *link) uint64 {
	b := make([]byte, 0, 8*len(l.topics))
	for _, t := range o.comparedTopics(l) {
		b = binary.BigEndian.AppendUint64(b, o.hashOf(t))
	}
	return xxhash.Sum64(b)
}

func (o *Overlay) summary(l *link) *Summary {
	m := &Summary{Hashes: []uint64{}}
	for _, t := range o.comparedTopics(l) {
		m.Hashes = append(m.Hashes, o.hashOf(t))
	}
	return m
}

func (o *Overlay) sendHeartbeats() {
	for _, id := range o.linkIDs() {
		l := o.links[id]
		if o.now.Before(l.nextHeartbeat) {
			continue
		}
		l.nextHeartbeat = o.now.Add(heartbeatInterval)
		_, wanted := o.wanted[l.peer.Name]
		o.emit(Send{Link: l.id, Message: &Heartbeat{Hash: o.combinedHash(l), Wanted: wanted}})
	}
}

// resync compares the volatile topics over one link at a time, in rotation.
func (o *Overlay) resync() {
	if o.now.Before(o.nextResync) || len(o.links) == 0 {
		return
	}
	o.resyncs++
	o.nextResync = o.now.Add(resyncInterval/2 + o.jitter(resyncInterval, o.resyncs))
	ids := o.linkIDs()
	o.syncVolatile(o.links[ids[int(o.resyncs)%len(ids)]])
}

func (o *Overlay) syncVolatile(l *link) {
	for _, n := range l.topics {
		if t := o.topics[n]; t.Volatile {
			o.emit(Send{Link: l.id, Message: &Digest{Topic: n, Digest: t.Digest()}})
		}
	}
}

func (o *Overlay) receive(in Received) {
	l := o.links[in.Link]
	if l == nil {
		return
	}
	l.lastReceived = o.now
	l.digestOffered = false
	switch m := in.Message.(type) {
	case *Heartbeat:
		o.handleHeartbeat(l, m)
	case *Push:
		o.handlePush(l, m)
	case *Summary:
		o.handleSummary(l, m)
	case *Digest:
		o.handleDigest(l, m)
	case *Tree:
		l.eager = m.Eager
	}
}

func (o *Overlay) handleHeartbeat(l *link, m *Heartbeat) {
	l.wantedByPeer = m.Wanted
	if m.Hash == o.combinedHash(l) {
		l.mismatches = 0
		return
	}
	l.mismatches++
	if l.mismatches >= mismatchesToRepair {
		l.mismatches = 0
		o.count("Repairs")
		o.emit(Send{Link: l.id, Message: o.summary(l)})
	}
}

func (o *Overlay) handleSummary(l *link, m *Summary) {
	for i, t := range o.comparedTopics(l) {
		if i < len(m.Hashes) && m.Hashes[i] != o.hashOf(t) {
			o.emit(Send{Link: l.id, Message: &Digest{Topic: t.Name, Digest: t.Digest()}})
		}
	}
}

// handleDigest sends the items that the peer lacks, and its own digest unless the peer's was already an answer.
func (o *Overlay) handleDigest(l *link, m *Digest) {
	t := o.topics[m.Topic]
	if t == nil {
		return
	}
	own := t.Digest()
	if slices.Equal(own, m.Digest) {
		return
	}
	o.sendItems(l, t.Name, t.Missing(m.Digest), true)
	if m.Want || !t.shouldPull(m.Digest, o.now) {
		return
	}
	o.emit(Send{Link: l.id, Message: &Digest{Topic: t.Name, Digest: own, Want: true}})
}

// handlePush applies the items and forwards the changed ones; a link that delivers only duplicates is made lazy.
func (o *Overlay) handlePush(l *link, m *Push) {
	t := o.topics[m.Topic]
	if t == nil {
		return
	}
	items := m.Items
	if o.outdated(l) {
		items = o.ownRecords(l, m)
	}
	var changed []Item
	for _, it := range items {
		ok, err := t.Apply(it)
		if err != nil {
			o.note("PeerMalformed", l.peer.Name, err.Error())
			o.closeLink(l, CloseMalformed)
			return
		}
		if ok {
			changed = append(changed, it)
		}
	}
	t.hashAt = time.Time{}
	if t.pullOnly() {
		if len(changed) > 0 {
			t.pullDeadline = time.Time{}
			o.offerDigest(t, l)
		}
		return
	}
	o.queueItems(t, changed, l)
	o.adjustEager(l, m, len(changed))
}

// ownRecords returns the items of an outdated incarnation's push that are its own records and drops the others.
// The own record reveals a restarted process whose clock is behind.
func (o *Overlay) ownRecords(l *link, m *Push) []Item {
	var out []Item
	o.count("OutdatedPushes")
	if m.Topic != topicMembers {
		return nil
	}
	for _, it := range m.Items {
		if r, err := decodeRecord(it); err == nil && r.Tag == l.peer.Tag() {
			out = append(out, it)
		}
	}
	return out
}

func (o *Overlay) adjustEager(l *link, m *Push, changed int) {
	switch {
	case m.Repair && changed > 0 && !l.eager:
		l.eager = true
		o.emit(Send{Link: l.id, Message: &Tree{Eager: true}})
	case !m.Repair && changed == 0 && l.eager && o.countEager() > o.minEager():
		lazy := o.lazyCandidate(l)
		lazy.eager = false
		o.emit(Send{Link: lazy.id, Message: &Tree{Eager: false}})
	}
}

// lazyCandidate returns the link to make lazy when l delivers only duplicates. Traffic between failure domains
// costs more, so a cross-domain link is preferred as long as minEagerCrossDomain others stay eager.
func (o *Overlay) lazyCandidate(l *link) *link {
	if o.crossDomain(l) {
		return l
	}
	var crossDomainLinks []*link
	for _, id := range o.linkIDs() {
		if f := o.links[id]; f.eager && o.crossDomain(f) {
			crossDomainLinks = append(crossDomainLinks, f)
		}
	}
	if len(crossDomainLinks) <= minEagerCrossDomain {
		return l
	}
	return crossDomainLinks[0]
}

// crossDomain reports whether the peer of a link is in another failure domain.
func (o *Overlay) crossDomain(l *link) bool {
	return l.peer.FailureDomain != o.table.self.Member.FailureDomain
}

// minEager returns the minimum number of eager links.
func (o *Overlay) minEager() int {
	if len(o.table.rows) <= smallFleetMembers {
		return smallFleetEagerLinks
	}
	return minEagerLinks
}

func (o *Overlay) countEager() int {
	n := 0
	for _, l := range o.links {
		if l.eager {
			n++
		}
	}
	return n
}

func (o *Overlay) publish(name TopicName) {
	t := o.topics[name]
	if t == nil {
		return
	}
	t.hashAt = time.Time{}
	if t.pullOnly() {
		o.offerDigest(t, nil)
		return
	}
	o.queueItems(t, t.TakeChanged(), nil)
}

// queueOwnChanges queues the changed records of the membership topics.
func (o *Overlay) queueOwnChanges() {
	for _, n := range []TopicName{topicMembers, topicBeats} {
		t := o.topics[n]
		items := t.TakeChanged()
		if len(items) == 0 {
			continue
		}
		t.hashAt = time.Time{}
		o.queueItems(t, items, nil)
	}
}

// offerDigest sends a topic's new digest on all links except one.
func (o *Overlay) offerDigest(t *topicState, except *link) {
	for _, id := range o.linkIDs() {
		l := o.links[id]
		if l != except && slices.Contains(l.topics, t.Name) {
			o.emit(Send{Link: id, Message: &Digest{Topic: t.Name, Digest: t.Digest()}})
			l.digestOffered = true
		}
	}
}

// queueItems adds items to the pending queue of each eager link for the next flush.
// Items beyond maxPendingItems are dropped and repaired by digests.
func (o *Overlay) queueItems(t *topicState, items []Item, except *link) {
	if len(items) == 0 {
		return
	}
	for _, l := range o.links {
		if l == except || !l.eager || !slices.Contains(l.topics, t.Name) {
			continue
		}
		room := max(0, maxPendingItems-len(l.pending[t.Name]))
		if room < len(items) {
			o.counts["PendingDropped"] += uint64(len(items) - room)
		}
		l.pending[t.Name] = append(l.pending[t.Name], items[:min(room, len(items))]...)
	}
}

// flush sends the pending items; volatile topics are flushed every volatileInterval, to batch more items per message.
func (o *Overlay) flush() {
	due := !o.now.Before(o.nextVolatile) || o.leaving
	if due {
		o.nextVolatile = o.now.Add(volatileInterval)
	}
	for _, id := range o.linkIDs() {
		l := o.links[id]
		for _, n := range l.topics {
			if o.topics[n].Volatile && !due {
				continue
			}
			if items := l.pending[n]; len(items) > 0 {
				delete(l.pending, n)
				o.sendItems(l, n, items, false)
			}
		}
	}
}

// sendItems splits items into messages of bounded size.
func (o *Overlay) sendItems(l *link, topic TopicName, items []Item, repair bool) {
	for len(items) > 0 {
		n, bytes := 0, 0
		for n < len(items) && n < maxItems && (n == 0 || bytes+len(items[n]) <= maxPushBytes) {
			bytes += len(items[n])
			n++
		}
		o.emit(Send{Link: l.id, Message: &Push{Topic: topic, Items: items[:n:n], Repair: repair}})
		items = items[n:]
	}
}
