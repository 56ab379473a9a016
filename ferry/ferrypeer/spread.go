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
	// smallEagerLinks is that number in fleets of up to smallFleet members: with so few, two links each can leave groups apart until a
	// repair joins them, and twice as many copies cost little.
	smallEagerLinks = 4
	smallFleet      = 32
	// leastFarEager is how many links into other failure domains go on pushing, so that no domain is left to repairs.
	leastFarEager   = 1
	maxPendingItems = 4096
	maxPushBytes    = 64 << 10
	pullFor         = 2 * time.Second
	volatileEvery   = 500 * time.Millisecond
)

// topicState is a topic with what the overlay keeps about it.
type topicState struct {
	Topic
	hash    uint64
	hashAt  time.Time
	pulling time.Time
	// pulled is the hash of the digest that was last answered with a pull.
	pulled uint64
}

func (t *topicState) offered() bool { return t.Fresh == nil }

// pull reports whether a peer with this digest is to be asked for what it has: each digest once while its answer may be under way.
func (t *topicState) pull(digest []byte, now time.Time) bool {
	if !t.offered() {
		return true
	}
	h := xxhash.Sum64(digest)
	if h == t.pulled && now.Before(t.pulling) {
		return false
	}
	t.pulled = h
	t.pulling = now.Add(pullFor)
	return true
}

// hashOf returns the hash of a topic's digest, computed at most once a step.
func (o *Overlay) hashOf(t *topicState) uint64 {
	if !t.hashAt.Equal(o.now) {
		t.hash = xxhash.Sum64(t.Digest())
		t.hashAt = o.now
	}
	return t.hash
}

func (o *Overlay) common(theirs []TopicName) []TopicName {
	var out []TopicName
	for _, n := range o.names {
		if slices.Contains(theirs, n) {
			out = append(out, n)
		}
	}
	return out
}

// repaired are a link's topics whose digests are compared with each heartbeat.
func (o *Overlay) repaired(l *link) []*topicState {
	var out []*topicState
	for _, n := range l.topics {
		if t := o.topics[n]; !t.Volatile {
			out = append(out, t)
		}
	}
	return out
}

func (o *Overlay) combined(l *link) uint64 {
	b := make([]byte, 0, 8*len(l.topics))
	for _, t := range o.repaired(l) {
		b = binary.BigEndian.AppendUint64(b, o.hashOf(t))
	}
	return xxhash.Sum64(b)
}

func (o *Overlay) summary(l *link) *Summary {
	m := &Summary{Hashes: []uint64{}}
	for _, t := range o.repaired(l) {
		m.Hashes = append(m.Hashes, o.hashOf(t))
	}
	return m
}

func (o *Overlay) heartbeats() {
	for _, id := range o.linkIDs() {
		l := o.links[id]
		if o.now.Before(l.beatAt) {
			continue
		}
		l.beatAt = o.now.Add(heartbeatEvery)
		_, wanted := o.wanted[l.peer.Name]
		o.do(Send{Link: l.id, Message: &Heartbeat{Hash: o.combined(l), Wanted: wanted}})
	}
}

// resync compares the volatile topics with one link after another.
func (o *Overlay) resync() {
	if o.now.Before(o.resyncAt) || len(o.links) == 0 {
		return
	}
	o.resyncs++
	o.resyncAt = o.now.Add(resyncEvery/2 + o.jitter(resyncEvery, o.resyncs))
	ids := o.linkIDs()
	o.syncVolatile(o.links[ids[int(o.resyncs)%len(ids)]])
}

func (o *Overlay) syncVolatile(l *link) {
	for _, n := range l.topics {
		if t := o.topics[n]; t.Volatile {
			o.do(Send{Link: l.id, Message: &Digest{Topic: n, Digest: t.Digest()}})
		}
	}
}

func (o *Overlay) receive(in Received) {
	l := o.links[in.Link]
	if l == nil {
		return
	}
	l.heard = o.now
	l.offered = false
	switch m := in.Message.(type) {
	case *Heartbeat:
		o.heartbeat(l, m)
	case *Push:
		o.push(l, m)
	case *Summary:
		o.compare(l, m)
	case *Digest:
		o.answerDigest(l, m)
	case *Tree:
		l.eager = m.Eager
	}
}

func (o *Overlay) heartbeat(l *link, m *Heartbeat) {
	l.peerWants = m.Wanted
	if m.Hash == o.combined(l) {
		l.mismatches = 0
		return
	}
	l.mismatches++
	if l.mismatches >= mismatchesToRepair {
		l.mismatches = 0
		o.count("Repairs")
		o.do(Send{Link: l.id, Message: o.summary(l)})
	}
}

func (o *Overlay) compare(l *link, m *Summary) {
	for i, t := range o.repaired(l) {
		if i < len(m.Hashes) && m.Hashes[i] != o.hashOf(t) {
			o.do(Send{Link: l.id, Message: &Digest{Topic: t.Name, Digest: t.Digest()}})
		}
	}
}

// answerDigest sends what the peer lacks, and the own digest back unless the peer's was already an answer.
func (o *Overlay) answerDigest(l *link, m *Digest) {
	t := o.topics[m.Topic]
	if t == nil {
		return
	}
	own := t.Digest()
	if slices.Equal(own, m.Digest) {
		return
	}
	o.send(l, t.Name, t.Missing(m.Digest), true)
	if m.Want || !t.pull(m.Digest, o.now) {
		return
	}
	o.do(Send{Link: l.id, Message: &Digest{Topic: t.Name, Digest: own, Want: true}})
}

// push applies items and passes on what was new; a link that brings nothing new is left to digests.
func (o *Overlay) push(l *link, m *Push) {
	t := o.topics[m.Topic]
	if t == nil {
		return
	}
	items := m.Items
	if o.outdated(l) {
		items = o.ofItself(l, m)
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
	if t.offered() {
		if len(changed) > 0 {
			t.pulling = time.Time{}
			o.offer(t, l)
		}
		return
	}
	o.queue(t, changed, l)
	o.shapeTree(l, m, len(changed))
}

// ofItself leaves of an outdated incarnation's items only what it says of itself, by which a restart whose clock is behind becomes known.
func (o *Overlay) ofItself(l *link, m *Push) []Item {
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

func (o *Overlay) shapeTree(l *link, m *Push, changed int) {
	switch {
	case m.Repair && changed > 0 && !l.eager:
		l.eager = true
		o.do(Send{Link: l.id, Message: &Tree{Eager: true}})
	case !m.Repair && changed == 0 && l.eager && o.eagerLinks() > o.leastEager():
		spare := o.spare(l)
		spare.eager = false
		o.do(Send{Link: spare.id, Message: &Tree{Eager: false}})
	}
}

// spare returns the link that is left to digests when this one brings nothing new: rather one into another failure domain, as long as
// another such link goes on, since bytes between domains cost more.
func (o *Overlay) spare(l *link) *link {
	if o.far(l) {
		return l
	}
	var far []*link
	for _, id := range o.linkIDs() {
		if f := o.links[id]; f.eager && o.far(f) {
			far = append(far, f)
		}
	}
	if len(far) <= leastFarEager {
		return l
	}
	return far[0]
}

// far reports whether a link leads into another failure domain.
func (o *Overlay) far(l *link) bool {
	return l.peer.FailureDomain != o.table.self.Member.FailureDomain
}

// leastEager is the number of links that go on pushing whatever they bring.
func (o *Overlay) leastEager() int {
	if len(o.table.rows) <= smallFleet {
		return smallEagerLinks
	}
	return minEagerLinks
}

func (o *Overlay) eagerLinks() int {
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
	if t.offered() {
		o.offer(t, nil)
		return
	}
	o.queue(t, t.Fresh(), nil)
}

// drainOwn queues what the membership itself changed.
func (o *Overlay) drainOwn() {
	for _, n := range []TopicName{topicMembers, topicBeats} {
		t := o.topics[n]
		items := t.Fresh()
		if len(items) == 0 {
			continue
		}
		t.hashAt = time.Time{}
		o.queue(t, items, nil)
	}
}

// offer tells all links but one of a topic's new digest at once.
func (o *Overlay) offer(t *topicState, but *link) {
	for _, id := range o.linkIDs() {
		l := o.links[id]
		if l != but && slices.Contains(l.topics, t.Name) {
			o.do(Send{Link: id, Message: &Digest{Topic: t.Name, Digest: t.Digest()}})
			l.offered = true
		}
	}
}

// queue leaves items for the next flush of each eager link; a full queue drops them, and digests repair that.
func (o *Overlay) queue(t *topicState, items []Item, but *link) {
	if len(items) == 0 {
		return
	}
	for _, l := range o.links {
		if l == but || !l.eager || !slices.Contains(l.topics, t.Name) {
			continue
		}
		room := max(0, maxPendingItems-len(l.pending[t.Name]))
		if room < len(items) {
			o.counts["PendingDropped"] += uint64(len(items) - room)
		}
		l.pending[t.Name] = append(l.pending[t.Name], items[:min(room, len(items))]...)
	}
}

// flush sends what is queued; volatile topics wait longer, so that more items share a message.
func (o *Overlay) flush() {
	due := !o.now.Before(o.volatileAt) || o.leaving
	if due {
		o.volatileAt = o.now.Add(volatileEvery)
	}
	for _, id := range o.linkIDs() {
		l := o.links[id]
		for _, n := range l.topics {
			if o.topics[n].Volatile && !due {
				continue
			}
			if items := l.pending[n]; len(items) > 0 {
				delete(l.pending, n)
				o.send(l, n, items, false)
			}
		}
	}
}

// send cuts items into messages of bounded size.
func (o *Overlay) send(l *link, topic TopicName, items []Item, repair bool) {
	for len(items) > 0 {
		n, bytes := 0, 0
		for n < len(items) && n < maxItems && (n == 0 || bytes+len(items[n]) <= maxPushBytes) {
			bytes += len(items[n])
			n++
		}
		o.do(Send{Link: l.id, Message: &Push{Topic: topic, Items: items[:n:n], Repair: repair}})
		items = items[n:]
	}
}
