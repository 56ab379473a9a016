package ferrypeer

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"cactusferry.dev/ferry/ferryid"
)

const (
	maxMembers = 4096
	// tombstoneTTL is how long the record of a dead or left member is kept.
	tombstoneTTL = 10 * time.Minute
	// tombstoneGrace is the remaining lifetime below which such a record is neither added nor included in digests.
	tombstoneGrace = time.Minute
	digestMaxAge   = 10 * time.Second
	joinGrace      = 5 * time.Second
	startGrace     = time.Minute

	topicMembers TopicName = "members"
	topicBeats   TopicName = "beats"
)

// Record is the replicated record of a member; compact records omit Member and are resolved by Tag.
type Record struct {
	Tag    Tag     `cbor:"1,keyasint"`
	Member *Member `cbor:"2,keyasint,omitempty"`
	// Beat is the heartbeat count, which the member increments with each record that it publishes of itself.
	Beat   uint64 `cbor:"3,keyasint"`
	Status Status `cbor:"4,keyasint"`
	State  State  `cbor:"5,keyasint"`
	// Until is the expiry of a dead or left member's record, in Unix seconds.
	Until int64 `cbor:"6,keyasint,omitempty"`
	Load  Load  `cbor:"7,keyasint"`
}

// Check validates the record.
func (r Record) Check() error {
	if r.Status < Alive || r.Status > Left {
		return fmt.Errorf("record with unknown status %d", r.Status)
	}
	if r.State != Ready && r.State != Draining {
		return fmt.Errorf("record with unknown state %d", r.State)
	}
	if r.Member == nil {
		return nil
	}
	if r.Member.Tag() != r.Tag {
		return fmt.Errorf("record of %s with another's tag", r.Member.Name)
	}
	return r.Member.Check()
}

// supersedes orders records of one incarnation: Left is final, then the heartbeat count, then the status.
func (r Record) supersedes(o Record) bool {
	if o.Status == Left {
		return false
	}
	if r.Status == Left {
		return true
	}
	return cmp.Or(cmp.Compare(r.Beat, o.Beat), cmp.Compare(r.Status, o.Status)) > 0
}

func (r Record) gone() bool {
	return r.Status == Dead || r.Status == Left
}

type row struct {
	Record
	lastBeat    time.Time
	statusSince time.Time
}

// table is one process's replica of the membership; merging is commutative, so the order of records does not matter.
type table struct {
	self      Record
	now       time.Time
	createdAt time.Time
	// firstLinkAt is when the first link came up; paused is set after this process was paused.
	firstLinkAt time.Time
	paused      bool
	rows        map[ferryid.EntryName]*row
	byTag       map[Tag]ferryid.EntryName

	// structure and detail are the change counters that Overlay.Changes returns.
	structure uint64
	detail    uint64

	members, beats cachedDigest
	changedMembers []Item
	changedBeats   []Item

	suspectedBeat uint64
	replaced      bool
	conflicts     uint64
	deaths        uint64
	refused       uint64
}

type cachedDigest struct {
	bytes []byte
	at    time.Time
	dirty bool
}

func newTable(self Member, now time.Time) *table {
	t := &table{now: now, createdAt: now, rows: map[ferryid.EntryName]*row{}, byTag: map[Tag]ferryid.EntryName{}}
	t.self = Record{Tag: self.Tag(), Member: &self, Beat: 1, Status: Alive, State: Ready}
	t.put(t.self)
	t.changedMembers = append(t.changedMembers, encodeRecord(t.self))
	return t
}

func encodeRecord(r Record) Item {
	b, err := encMode.Marshal(r)
	if err != nil {
		panic(err)
	}
	return b
}

func decodeRecord(it Item) (Record, error) {
	var r Record
	if err := decMode.Unmarshal(it, &r); err != nil {
		return r, err
	}
	return r, r.Check()
}

// put stores a record that won the merge and invalidates the cached digests.
func (t *table) put(r Record) {
	old := t.rows[r.Member.Name]
	n := &row{Record: r, lastBeat: t.now, statusSince: t.now}
	t.beats.dirty = true
	t.detail++
	if old != nil && old.Tag == r.Tag && old.Status == r.Status {
		n.statusSince = old.statusSince
	}
	if old == nil || old.Tag != r.Tag || old.Status != r.Status || old.State != r.State {
		t.structure++
		t.members.dirty = true
	}
	if r.Status != Alive {
		t.members.dirty = true
	}
	if old != nil && old.Tag != r.Tag {
		delete(t.byTag, old.Tag)
	}
	if r.Status == Dead && (old == nil || old.Status != Dead) {
		t.deaths++
	}
	t.rows[r.Member.Name] = n
	t.byTag[r.Tag] = r.Member.Name
}

// merge applies a record from a peer or from this process's own observation and reports whether the table changed.
func (t *table) merge(r Record) bool {
	if r.Member == nil {
		return t.mergeCompact(r)
	}
	if r.Member.Name == t.self.Member.Name {
		t.mergeSelf(r)
		return false
	}
	old := t.rows[r.Member.Name]
	if old == nil {
		return t.insert(r)
	}
	if old.Tag != r.Tag {
		if !r.Member.newer(*old.Member) {
			return false
		}
		t.put(r)
		return true
	}
	if r.Member.newer(*old.Member) {
		m := *r.Member
		old.Member = &m
		t.members.dirty = true
		t.structure++
		t.detail++
		if !r.supersedes(old.Record) {
			return true
		}
	}
	if !r.supersedes(old.Record) {
		return false
	}
	r.Member = old.Member
	t.put(r)
	return true
}

func (t *table) mergeCompact(r Record) bool {
	name, ok := t.byTag[r.Tag]
	if !ok {
		return false
	}
	r.Member = t.rows[name].Member
	return t.merge(r)
}

// insert adds the record of an unknown entry; a record about to expire is not added again.
func (t *table) insert(r Record) bool {
	if r.gone() && r.Until < t.now.Add(tombstoneGrace).Unix() {
		return false
	}
	if len(t.rows) >= maxMembers && !t.evictGone() {
		t.refused++
		return false
	}
	t.put(r)
	return true
}

func (t *table) evictGone() bool {
	var oldest *row
	for _, r := range t.rows {
		if r.gone() && (oldest == nil || r.Until < oldest.Until) {
			oldest = r
		}
	}
	if oldest == nil {
		return false
	}
	t.remove(oldest)
	return true
}

func (t *table) remove(r *row) {
	delete(t.rows, r.Member.Name)
	delete(t.byTag, r.Tag)
	t.members.dirty, t.beats.dirty = true, true
	t.structure++
	t.detail++
}

// mergeSelf processes records with this process's name.
// A suspicion is noted for Overlay.refute, and a later incarnation replaces this process. While this process joins,
// a record with a later start must be that of an earlier incarnation whose clock was ahead, so Started is moved
// past it.
func (t *table) mergeSelf(r Record) {
	if r.Tag == t.self.Tag {
		if r.Status != Alive && t.self.Status != Left && r.Beat >= t.self.Beat {
			t.suspectedBeat = max(t.suspectedBeat, r.Beat)
		}
		return
	}
	if !r.Member.newer(*t.self.Member) {
		return
	}
	if !t.joining() {
		t.replaced = true
		return
	}
	t.conflicts++
	m := *t.self.Member
	m.Started = r.Member.Started
	m.Started.Logical++
	t.self.Member = &m
	t.announce(true)
}

// joining reports whether this process started so recently that an incarnation with a later start must be an
// earlier one whose clock was ahead.
func (t *table) joining() bool {
	if t.paused || t.now.Sub(t.createdAt) > startGrace {
		return false
	}
	return t.firstLinkAt.IsZero() || t.now.Sub(t.firstLinkAt) <= joinGrace
}

// announce increments the heartbeat count of this process and queues its record: the full record if peers may not
// know it, a compact one otherwise.
func (t *table) announce(full bool) {
	t.self.Beat++
	t.put(t.self)
	r := t.self
	if full {
		t.changedMembers = append(t.changedMembers, encodeRecord(r))
		return
	}
	r.Member = nil
	t.changedBeats = append(t.changedBeats, encodeRecord(r))
}

// setStatus changes the status of another member by this process's own observation and queues the record.
func (t *table) setStatus(name ferryid.EntryName, s Status) {
	old := t.rows[name]
	if old == nil || name == t.self.Member.Name {
		return
	}
	r := old.Record
	r.Status = s
	r.Until = t.now.Add(tombstoneTTL).Unix()
	if !r.supersedes(old.Record) {
		return
	}
	t.put(r)
	r.Member = nil
	t.changedMembers = append(t.changedMembers, encodeRecord(r))
}

// expire marks suspects as dead and members without a refresh as suspect, and removes expired records.
func (t *table) expire(suspectTimeout, refreshTimeout time.Duration) {
	for name, r := range t.rows {
		switch {
		case name == t.self.Member.Name:
		case r.gone() && t.now.Unix() >= r.Until:
			t.remove(r)
		case r.Status == Suspect && t.now.Sub(r.statusSince) >= suspectTimeout:
			t.setStatus(name, Dead)
		case r.Status == Alive && t.now.Sub(r.lastBeat) >= refreshTimeout:
			t.setStatus(name, Suspect)
		}
	}
}

// shift moves the timestamps of all rows forward by the duration of a pause of this process.
func (t *table) shift(d time.Duration) {
	t.paused = true
	for _, r := range t.rows {
		r.lastBeat = r.lastBeat.Add(d)
		r.statusSince = r.statusSince.Add(d)
	}
}

func (t *table) liveCount() int {
	n := 0
	for _, r := range t.rows {
		if !r.gone() {
			n++
		}
	}
	return n
}

func (t *table) snapshot() Members {
	ms := Members{At: t.now, Self: t.self.Member.Name, List: make([]MemberInfo, 0, len(t.rows))}
	for _, r := range t.rows {
		ms.List = append(ms.List, MemberInfo{Member: *r.Member, State: r.State, Status: r.Status, Beat: r.Beat, Load: r.Load})
	}
	slices.SortFunc(ms.List, func(a, b MemberInfo) int { return cmp.Compare(a.Name, b.Name) })
	return ms
}

// inDigest reports whether the record is included in digests; a record about to expire is not.
func (t *table) inDigest(r *row) bool {
	return !r.gone() || r.Until >= t.now.Add(tombstoneGrace).Unix()
}

func memberPair(r *row) pair {
	v := mix(uint64(r.Tag)) ^ uint64(r.State)<<8 ^ uint64(r.Status) ^ uint64(r.Member.Started.Micros)<<16
	if r.Status != Alive {
		v ^= r.Beat << 32
	}
	return pairOf(string(r.Member.Name), v)
}

func beatPair(r *row) pair {
	return pairOf(string(r.Member.Name), uint64(r.Tag)^mix(r.Beat))
}

func (t *table) digest(c *cachedDigest, of func(*row) pair, in func(*row) bool) []byte {
	if !c.dirty && c.bytes != nil && t.now.Sub(c.at) < digestMaxAge {
		return c.bytes
	}
	ps := make([]pair, 0, len(t.rows))
	for _, r := range t.rows {
		if in(r) {
			ps = append(ps, of(r))
		}
	}
	*c = cachedDigest{bytes: encodePairs(ps), at: t.now}
	return c.bytes
}

func (t *table) missing(remote []byte, of func(*row) pair, in func(*row) bool, encode func(Record) Item) []Item {
	has := decodePairs(remote)
	var out []Item
	for _, r := range t.rows {
		if in(r) && !has[of(r)] {
			out = append(out, encode(r.Record))
		}
	}
	slices.SortFunc(out, func(a, b Item) int { return slices.Compare(a, b) })
	return out
}

func (t *table) apply(it Item) (bool, error) {
	r, err := decodeRecord(it)
	if err != nil {
		return false, err
	}
	return t.merge(r), nil
}

func isAlive(r *row) bool { return r.Status == Alive }

func encodeCompact(r Record) Item {
	r.Member = nil
	return encodeRecord(r)
}

// topics returns the two topics of the membership: the member records, and the heartbeat counts with loads.
func (t *table) topics() []Topic {
	return []Topic{
		{
			Name:        topicMembers,
			Digest:      func() []byte { return t.digest(&t.members, memberPair, t.inDigest) },
			Missing:     func(d []byte) []Item { return t.missing(d, memberPair, t.inDigest, encodeRecord) },
			Apply:       t.apply,
			TakeChanged: func() []Item { return takeItems(&t.changedMembers) },
		},
		{
			Name:        topicBeats,
			Digest:      func() []byte { return t.digest(&t.beats, beatPair, isAlive) },
			Missing:     func(d []byte) []Item { return t.missing(d, beatPair, isAlive, encodeCompact) },
			Apply:       t.apply,
			TakeChanged: func() []Item { return takeItems(&t.changedBeats) },
			Volatile:    true,
		},
	}
}

func takeItems(from *[]Item) []Item {
	out := *from
	*from = nil
	return out
}
