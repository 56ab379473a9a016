package ferryclaim

import (
	"encoding/binary"
	"encoding/hex"
	"errors"
	"time"

	"cactusferry.dev/ferry/ferryplatform"
)

// startSegment starts to move the records of a large tail to a segment, or to merge small segments.
// It reports whether there is a segment to write.
func (s *slot) startSegment(now time.Time) bool {
	if now.After(s.mergeAfter) {
		for level := range uint8(maxSegmentLevel) {
			small := s.segmentsAt(level)
			if len(small) < mergeSegments {
				continue
			}
			if s.startMerge(now, small, level+1) {
				return true
			}
			s.mergeAfter = now.Add(mergeRetry)
		}
	}
	if s.size-s.refBytes < s.flushBytes {
		return false
	}
	var live []Record
	for _, r := range s.tail.records {
		if !r.expired(now) {
			live = append(live, r)
		}
	}
	return s.newSegment(live, 0, nil)
}

func (s *slot) segmentsAt(level uint8) []segmentRef {
	var out []segmentRef
	for _, ref := range s.tail.segments {
		if ref.Level == level {
			out = append(out, ref)
		}
	}
	return out
}

func (s *slot) startMerge(now time.Time, small []segmentRef, level uint8) bool {
	inTail := map[Digest]bool{}
	for _, r := range s.tail.records {
		inTail[r.Key] = true
	}
	replaces := map[string]bool{}
	var live []Record
	for _, ref := range small {
		replaces[ref.Name] = true
		for _, k := range s.segKeys[ref.Name] {
			if r := s.records[k]; !inTail[k] && !r.expired(now) {
				inTail[k] = true
				live = append(live, r)
			}
		}
	}
	return s.newSegment(live, level, replaces)
}

func (s *slot) newSegment(records []Record, level uint8, replaces map[string]bool) bool {
	if len(records) == 0 && replaces == nil {
		return false
	}
	b, err := journal{records: records}.encode()
	if err != nil || len(b) > maxObjectBytes {
		return false
	}
	s.serial++
	ref := segmentRef{Name: s.segmentName(), Level: level}
	keys := make([]Digest, 0, len(records))
	for _, r := range records {
		ref.Newest = max(ref.Newest, r.Until)
		keys = append(keys, r.Key)
	}
	s.segment = &segmentWrite{put: putSegment{ref.Name, b}, ref: ref, keys: keys, replaces: replaces}
	return true
}

// segmentName returns a name unique to this slot, incarnation and serial number.
// It is short since the tail lists it.
func (s *slot) segmentName() string {
	d := DigestOf([]byte(s.name), []byte(s.self), binary.BigEndian.AppendUint64(nil, s.serial))
	return s.name + "." + hex.EncodeToString(d[:])
}

func (s *slot) onSegmentPut(now time.Time, ans actionResult) []decided {
	var conflict *ferryplatform.ConflictError
	switch {
	case ans.err == nil, errors.As(ans.err, &conflict):
		// Only this incarnation uses the name, so a conflict means that an earlier try succeeded.
		s.segment.stored = true
		s.resetBackoff()
		return nil
	case hadNoEffect(ans.err):
		return s.fail(now, ans.err)
	}
	s.outageErr = nil
	s.backOff(now)
	return nil
}

// nextSegments returns the segments that the next tail refers to and the names of those that it drops.
func (s *slot) nextSegments(now time.Time) (refs []segmentRef, dropped []string) {
	merged := s.segment != nil && s.segment.replaces != nil
	placed := false
	for _, ref := range s.tail.segments {
		if merged && s.segment.replaces[ref.Name] {
			// Later segments override earlier ones, so the merged one takes the position of the first one it replaces.
			if !placed {
				refs = append(refs, s.segment.ref)
			}
			placed = true
			dropped = append(dropped, ref.Name)
			continue
		}
		if time.Unix(ref.Newest, 0).Add(segmentGrace).Before(now) {
			dropped = append(dropped, ref.Name)
			continue
		}
		refs = append(refs, ref)
	}
	if s.segment != nil && !merged {
		refs = append(refs, s.segment.ref)
	}
	return refs, dropped
}

// finishSegment registers the segment that the tail now refers to and purges expired records.
func (s *slot) finishSegment(now time.Time) {
	if s.segment == nil {
		return
	}
	s.segKeys[s.segment.ref.Name] = s.segment.keys
	s.segment = nil
	s.purgeExpired(now)
}

// dropSegment discards the segment being written unless a tail refers to it.
func (s *slot) dropSegment(named map[string]bool) {
	if s.segment != nil && !named[s.segment.ref.Name] {
		s.discard(s.segment.ref.Name)
	}
	s.segment = nil
}

// discard queues an object for deletion; if the queue is full, the object is left on the platform.
func (s *slot) discard(name string) {
	delete(s.segKeys, name)
	if len(s.garbage) < maxGarbageList {
		s.garbage = append(s.garbage, name)
	}
}

// purgeExpired deletes expired records from the cache.
func (s *slot) purgeExpired(now time.Time) {
	for k, r := range s.records {
		if r.expired(now) {
			delete(s.records, k)
		}
	}
}
