package ferryclaim

import (
	"errors"
	"fmt"
	"time"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryplatform"
)

const (
	sealBytes      = 4 << 10
	mergeSegments  = 12
	topLevel       = 2
	mergeRetry     = time.Minute
	listedBytes    = 50 // of one segment in the tail
	maxBatch       = 128
	minBackoff     = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
	segmentGrace   = time.Minute
	maxGarbageList = 64
)

// flight is a conditional write of the tail that is under way or whose outcome is not known yet.
type flight struct {
	put        putTail
	next       journal
	batch      []request
	dropped    []string
	unresolved bool
}

// sealing is a segment that is being written, to be named by the next tail.
type sealing struct {
	put      putSegment
	ref      segmentRef
	keys     []Digest
	replaces map[string]bool
	stored   bool
}

// slot is the pure core of one slot's journal: the slot's object decides everything, and segments are immutable parts of it.
type slot struct {
	name    string
	self    ferryid.Incarnation
	serial  uint64
	version ferryplatform.Version
	loaded  bool
	tail    journal
	sealAt  int // bytes of a tail that are worth a segment
	size    int
	listed  int
	records map[Digest]Record
	segKeys map[string][]Digest
	missing []segmentRef
	waiting []request
	reading int
	flight  *flight
	sealing *sealing
	garbage []string

	mergeAfter time.Time
	notBefore  time.Time
	backoff    time.Duration
	down       error
}

func newSlot(name string, self ferryid.Incarnation) *slot {
	return &slot{name: name, self: self, sealAt: sealBytes, records: map[Digest]Record{}, segKeys: map[string][]Digest{}}
}

// submit hands a request to the slot.
func (s *slot) submit(r request) {
	s.waiting = append(s.waiting, r)
}

// next returns the call to make now, or nil, and the verdicts that are already certain.
func (s *slot) next(now time.Time) (action, []decided) {
	if out := s.barriers(); out != nil {
		return nil, out
	}
	if now.Before(s.notBefore) {
		if s.down != nil {
			return nil, s.refuse(s.down)
		}
		return nil, nil
	}
	switch {
	case s.flight != nil:
		return s.flight.put, nil
	case len(s.waiting) == 0:
		return s.tidy(), nil
	case !s.loaded:
		s.reading = len(s.waiting)
		return getTail{}, nil
	case len(s.missing) > 0:
		return getSegment{s.missing[0]}, nil
	case s.sealing != nil && !s.sealing.stored:
		return s.sealing.put, nil
	case s.sealing == nil && s.startSealing(now):
		return s.sealing.put, nil
	}
	return s.plan(now)
}

// barriers settles barriers that have nothing to wait for, without a call.
func (s *slot) barriers() []decided {
	if s.flight != nil {
		return nil
	}
	var out []decided
	for _, r := range s.waiting {
		if r.op != opBarrier {
			return nil
		}
		out = append(out, decided{r, granted{}})
	}
	if out != nil {
		s.waiting = s.waiting[:0]
	}
	return out
}

func (s *slot) tidy() action {
	if len(s.garbage) == 0 {
		return nil
	}
	return deleteSegment{s.garbage[0]}
}

// plan decides every waiting request and builds the next write.
func (s *slot) plan(now time.Time) (action, []decided) {
	p := planner{slot: s, now: now, changed: map[Digest]Record{}}
	for _, r := range s.waiting {
		p.decide(r)
	}
	s.waiting = p.keep
	if len(p.changed) > 0 {
		s.launch(p, now)
		return s.flight.put, p.out
	}
	for _, r := range p.batch {
		p.out = append(p.out, decided{r, granted{}})
	}
	if p.reload {
		s.loaded = false
		s.reading = len(s.waiting)
		return getTail{}, p.out
	}
	return nil, p.out
}

func (s *slot) launch(p planner, now time.Time) {
	next := journal{}
	sealed := map[Digest]bool{}
	if s.sealing != nil && s.sealing.replaces == nil {
		for _, k := range s.sealing.keys {
			sealed[k] = true
		}
	}
	for _, r := range s.tail.records {
		if _, ok := p.changed[r.Key]; !ok && !sealed[r.Key] && !r.expired(now) {
			next.records = append(next.records, r)
		}
	}
	for _, k := range p.order {
		next.records = append(next.records, p.changed[k])
	}
	var dropped []string
	next.segments, dropped = s.nextSegments(now)
	b, err := next.encode()
	if err != nil {
		panic(fmt.Sprintf("claim journal can't be encoded: %v", err))
	}
	s.flight = &flight{put: putTail{s.version, b}, next: next, batch: p.batch, dropped: dropped}
}

// done takes the answer to an action and returns the verdicts that follow from it.
func (s *slot) done(now time.Time, a action, ans answer) []decided {
	switch a := a.(type) {
	case getTail:
		return s.gotTail(now, ans)
	case getSegment:
		return s.gotSegment(now, a, ans)
	case putTail:
		return s.putTail(now, ans)
	case putSegment:
		return s.putSegment(now, ans)
	case deleteSegment:
		s.garbage = s.garbage[1:]
	}
	return nil
}

func (s *slot) gotTail(now time.Time, ans answer) []decided {
	var missing *ferryplatform.NotFoundError
	if errors.As(ans.err, &missing) {
		ans = answer{}
	}
	if ans.err != nil {
		return s.failed(now, ans.err)
	}
	if ans.object.Version != s.version {
		j := journal{}
		if ans.object.Version != ferryplatform.NoVersion {
			var err error
			if j, err = decodeJournal(ans.object.Value); err != nil {
				return s.failed(now, err)
			}
		}
		s.adopt(ans.object.Version, j, len(ans.object.Value))
	}
	s.succeeded()
	s.loaded = true
	for i := range s.waiting[:min(s.reading, len(s.waiting))] {
		s.waiting[i].fresh = true
	}
	return nil
}

// adopt takes over a tail that another entry wrote.
func (s *slot) adopt(v ferryplatform.Version, j journal, size int) {
	s.version = v
	s.tail = j
	s.size = size
	s.listed = listedBytes * len(j.segments)
	s.missing = nil
	named := map[string]bool{}
	for _, ref := range j.segments {
		named[ref.Name] = true
		if _, ok := s.segKeys[ref.Name]; !ok {
			s.missing = append(s.missing, ref)
		}
	}
	for name := range s.segKeys {
		if !named[name] {
			delete(s.segKeys, name)
		}
	}
	s.dropSealing(named)
	if len(s.missing) == 0 {
		s.applyTail()
	}
}

func (s *slot) applyTail() {
	for _, r := range s.tail.records {
		s.records[r.Key] = r
	}
}

func (s *slot) gotSegment(now time.Time, a getSegment, ans answer) []decided {
	j, err := journal{}, ans.err
	if err == nil {
		j, err = decodeJournal(ans.object.Value)
	}
	if err != nil {
		s.loaded = false
		s.version = ferryplatform.NoVersion
		return s.failed(now, err)
	}
	keys := make([]Digest, 0, len(j.records))
	for _, r := range j.records {
		s.records[r.Key] = r
		keys = append(keys, r.Key)
	}
	s.segKeys[a.ref.Name] = keys
	s.missing = s.missing[1:]
	if len(s.missing) == 0 {
		s.applyTail()
	}
	s.succeeded()
	return nil
}

func (s *slot) putTail(now time.Time, ans answer) []decided {
	f := s.flight
	var conflict *ferryplatform.ConflictError
	switch {
	case ans.err == nil:
		return s.landed(now, ans.version)
	case errors.As(ans.err, &conflict):
		s.flight = nil
		s.loaded = false
		s.waiting = append(f.batch, s.waiting...)
		return nil
	case !certainlyNot(ans.err):
		f.unresolved = true
		for i := range f.batch {
			f.batch[i].sent = true
		}
		s.down = nil
		s.delay(now)
		return nil
	case f.unresolved:
		return s.failed(now, ans.err)
	}
	s.flight = nil
	s.waiting = append(f.batch, s.waiting...)
	return s.failed(now, ans.err)
}

func (s *slot) landed(now time.Time, v ferryplatform.Version) []decided {
	f := s.flight
	s.flight = nil
	s.version = v
	s.tail = f.next
	s.size = len(f.put.value)
	s.listed = listedBytes * len(s.tail.segments)
	s.applyTail()
	s.finishSealing(now)
	for _, name := range f.dropped {
		s.discard(name)
	}
	s.succeeded()
	out := make([]decided, 0, len(f.batch))
	for _, r := range f.batch {
		out = append(out, decided{r, granted{}})
	}
	return out
}

// certainlyNot reports whether a failed write had no effect and will have none.
func certainlyNot(err error) bool {
	var down *ferryplatform.UnavailableError
	var budget *ferryplatform.BudgetError
	return errors.As(err, &down) || errors.As(err, &budget)
}

// failed refuses what waits for an answer; outcomes and releases stay until they are written.
func (s *slot) failed(now time.Time, err error) []decided {
	s.down = err
	s.delay(now)
	return s.refuse(err)
}

func (s *slot) refuse(err error) []decided {
	var out []decided
	keep := s.waiting[:0]
	for _, r := range s.waiting {
		if !r.needsAnswer() {
			keep = append(keep, r)
			continue
		}
		out = append(out, decided{r, refused{err, r.sent}})
	}
	s.waiting = keep
	return out
}

func (s *slot) delay(now time.Time) {
	s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
	s.notBefore = now.Add(s.backoff)
}

func (s *slot) succeeded() {
	s.backoff = 0
	s.notBefore = time.Time{}
	s.down = nil
}

// idle reports whether the slot waits for nothing but new requests.
func (s *slot) idle() bool {
	return s.flight == nil && len(s.waiting) == 0 && len(s.garbage) == 0
}
