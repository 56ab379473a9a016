package ferryclaim

import (
	"errors"
	"fmt"
	"time"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryplatform"
)

const (
	tailFlushBytes  = 4 << 10
	mergeSegments   = 12
	maxSegmentLevel = 2
	mergeRetry      = time.Minute
	segmentRefBytes = 50 // size of one segmentRef in the encoded tail
	maxBatch        = 128
	minBackoff      = 50 * time.Millisecond
	maxBackoff      = 2 * time.Second
	segmentGrace    = time.Minute
	maxGarbageList  = 64
)

// tailWrite is a conditional write of the tail that is in progress or has an unknown outcome.
type tailWrite struct {
	put        putTail
	next       journal
	batch      []request
	dropped    []string
	unresolved bool
}

// segmentWrite is a segment being written, to which the next tail will refer.
type segmentWrite struct {
	put      putSegment
	ref      segmentRef
	keys     []Digest
	replaces map[string]bool
	stored   bool
}

// slot is the state machine of one slot's journal; it does no I/O.
// The slot's object, the tail, alone decides the state of the keys: it is changed by conditional writes
// and refers to the segments, which are immutable.
type slot struct {
	name          string
	self          ferryid.Incarnation
	serial        uint64
	version       ferryplatform.Version
	loaded        bool
	tail          journal
	flushBytes    int // tail size from which records are moved to a segment
	size          int
	refBytes      int
	records       map[Digest]Record
	segKeys       map[string][]Digest // keys in each segment, by segment name
	missing       []segmentRef        // segments of the tail that were not read yet
	waiting       []request
	waitingAtRead int // number of waiting requests when the last read of the tail began
	inFlight      *tailWrite
	segment       *segmentWrite
	garbage       []string // names of segments to delete

	mergeAfter time.Time
	notBefore  time.Time
	backoff    time.Duration
	outageErr  error
}

func newSlot(name string, self ferryid.Incarnation) *slot {
	return &slot{name: name, self: self, flushBytes: tailFlushBytes, records: map[Digest]Record{}, segKeys: map[string][]Digest{}}
}

// submit queues a request.
func (s *slot) submit(r request) {
	s.waiting = append(s.waiting, r)
}

// next returns the platform call to make now, or nil, and the verdicts already decided.
func (s *slot) next(now time.Time) (action, []decided) {
	if out := s.resolveBarriers(); out != nil {
		return nil, out
	}
	if now.Before(s.notBefore) {
		if s.outageErr != nil {
			return nil, s.refuse(s.outageErr)
		}
		return nil, nil
	}
	switch {
	case s.inFlight != nil:
		return s.inFlight.put, nil
	case len(s.waiting) == 0:
		return s.nextGarbage(), nil
	case !s.loaded:
		s.waitingAtRead = len(s.waiting)
		return getTail{}, nil
	case len(s.missing) > 0:
		return getSegment{s.missing[0]}, nil
	case s.segment != nil && !s.segment.stored:
		return s.segment.put, nil
	case s.segment == nil && s.startSegment(now):
		return s.segment.put, nil
	}
	return s.plan(now)
}

// resolveBarriers resolves waiting barriers without a platform call if no write is pending before them.
func (s *slot) resolveBarriers() []decided {
	if s.inFlight != nil {
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

func (s *slot) nextGarbage() action {
	if len(s.garbage) == 0 {
		return nil
	}
	return deleteSegment{s.garbage[0]}
}

// plan decides the waiting requests and builds the next write.
func (s *slot) plan(now time.Time) (action, []decided) {
	p := planner{slot: s, now: now, changed: map[Digest]Record{}}
	for _, r := range s.waiting {
		p.decide(r)
	}
	s.waiting = p.deferred
	if len(p.changed) > 0 {
		s.startTailWrite(p, now)
		return s.inFlight.put, p.resolved
	}
	for _, r := range p.batch {
		p.resolved = append(p.resolved, decided{r, granted{}})
	}
	if p.reload {
		s.loaded = false
		s.waitingAtRead = len(s.waiting)
		return getTail{}, p.resolved
	}
	return nil, p.resolved
}

func (s *slot) startTailWrite(p planner, now time.Time) {
	next := journal{}
	inSegment := map[Digest]bool{}
	if s.segment != nil && s.segment.replaces == nil {
		for _, k := range s.segment.keys {
			inSegment[k] = true
		}
	}
	for _, r := range s.tail.records {
		if _, ok := p.changed[r.Key]; !ok && !inSegment[r.Key] && !r.expired(now) {
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
		panic(fmt.Sprintf("encode claim journal: %v", err))
	}
	s.inFlight = &tailWrite{put: putTail{s.version, b}, next: next, batch: p.batch, dropped: dropped}
}

// complete handles the result of an action and returns the verdicts that follow from it.
func (s *slot) complete(now time.Time, a action, ans actionResult) []decided {
	switch a := a.(type) {
	case getTail:
		return s.onTail(now, ans)
	case getSegment:
		return s.onSegment(now, a, ans)
	case putTail:
		return s.onTailPut(now, ans)
	case putSegment:
		return s.onSegmentPut(now, ans)
	case deleteSegment:
		s.garbage = s.garbage[1:]
	}
	return nil
}

func (s *slot) onTail(now time.Time, ans actionResult) []decided {
	var missing *ferryplatform.NotFoundError
	if errors.As(ans.err, &missing) {
		ans = actionResult{}
	}
	if ans.err != nil {
		return s.fail(now, ans.err)
	}
	if ans.object.Version != s.version {
		j := journal{}
		if ans.object.Version != ferryplatform.NoVersion {
			var err error
			if j, err = decodeJournal(ans.object.Value); err != nil {
				return s.fail(now, err)
			}
		}
		s.adoptTail(ans.object.Version, j, len(ans.object.Value))
	}
	s.resetBackoff()
	s.loaded = true
	for i := range s.waiting[:min(s.waitingAtRead, len(s.waiting))] {
		s.waiting[i].fresh = true
	}
	return nil
}

// adoptTail replaces the cached tail by one that another entry wrote.
func (s *slot) adoptTail(v ferryplatform.Version, j journal, size int) {
	s.version = v
	s.tail = j
	s.size = size
	s.refBytes = segmentRefBytes * len(j.segments)
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
	s.dropSegment(named)
	if len(s.missing) == 0 {
		s.applyTail()
	}
}

func (s *slot) applyTail() {
	for _, r := range s.tail.records {
		s.records[r.Key] = r
	}
}

func (s *slot) onSegment(now time.Time, a getSegment, ans actionResult) []decided {
	j, err := journal{}, ans.err
	if err == nil {
		j, err = decodeJournal(ans.object.Value)
	}
	if err != nil {
		s.loaded = false
		s.version = ferryplatform.NoVersion
		return s.fail(now, err)
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
	s.resetBackoff()
	return nil
}

func (s *slot) onTailPut(now time.Time, ans actionResult) []decided {
	f := s.inFlight
	var conflict *ferryplatform.ConflictError
	switch {
	case ans.err == nil:
		return s.tailWritten(now, ans.version)
	case errors.As(ans.err, &conflict):
		s.inFlight = nil
		s.loaded = false
		s.waiting = append(f.batch, s.waiting...)
		return nil
	case !hadNoEffect(ans.err):
		f.unresolved = true
		for i := range f.batch {
			f.batch[i].mayBeWritten = true
		}
		s.outageErr = nil
		s.backOff(now)
		return nil
	case f.unresolved:
		return s.fail(now, ans.err)
	}
	s.inFlight = nil
	s.waiting = append(f.batch, s.waiting...)
	return s.fail(now, ans.err)
}

func (s *slot) tailWritten(now time.Time, v ferryplatform.Version) []decided {
	f := s.inFlight
	s.inFlight = nil
	s.version = v
	s.tail = f.next
	s.size = len(f.put.value)
	s.refBytes = segmentRefBytes * len(s.tail.segments)
	s.applyTail()
	s.finishSegment(now)
	for _, name := range f.dropped {
		s.discard(name)
	}
	s.resetBackoff()
	out := make([]decided, 0, len(f.batch))
	for _, r := range f.batch {
		out = append(out, decided{r, granted{}})
	}
	return out
}

// hadNoEffect reports whether a failed write certainly had no effect and never will.
func hadNoEffect(err error) bool {
	var down *ferryplatform.UnavailableError
	var budget *ferryplatform.BudgetError
	return errors.As(err, &down) || errors.As(err, &budget)
}

// fail refuses the requests that need an answer; outcomes and releases stay queued until they are written.
func (s *slot) fail(now time.Time, err error) []decided {
	s.outageErr = err
	s.backOff(now)
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
		out = append(out, decided{r, refused{err, r.mayBeWritten}})
	}
	s.waiting = keep
	return out
}

func (s *slot) backOff(now time.Time) {
	s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
	s.notBefore = now.Add(s.backoff)
}

func (s *slot) resetBackoff() {
	s.backoff = 0
	s.notBefore = time.Time{}
	s.outageErr = nil
}

// idle reports whether the slot has nothing to do until the next request.
func (s *slot) idle() bool {
	return s.inFlight == nil && len(s.waiting) == 0 && len(s.garbage) == 0
}
