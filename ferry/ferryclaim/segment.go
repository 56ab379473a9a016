package ferryclaim

import (
	"encoding/binary"
	"encoding/hex"
	"errors"
	"time"

	"cactusferry.dev/ferry/ferryplatform"
)

// startSealing begins to move records out of a tail that has grown large, or to merge small segments; it reports whether there is a segment to write.
func (s *slot) startSealing(now time.Time) bool {
	if now.After(s.mergeAfter) {
		for level := range uint8(topLevel) {
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
	if s.size-s.listed < s.sealAt {
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
	s.sealing = &sealing{put: putSegment{ref.Name, b}, ref: ref, keys: keys, replaces: replaces}
	return true
}

// segmentName is unique to this slot, incarnation and serial, and short since the tail lists it.
func (s *slot) segmentName() string {
	d := DigestOf([]byte(s.name), []byte(s.self), binary.BigEndian.AppendUint64(nil, s.serial))
	return s.name + "." + hex.EncodeToString(d[:])
}

func (s *slot) putSegment(now time.Time, ans answer) []decided {
	var conflict *ferryplatform.ConflictError
	switch {
	case ans.err == nil, errors.As(ans.err, &conflict):
		// The name is ours alone, so a conflict means that an earlier try landed.
		s.sealing.stored = true
		s.succeeded()
		return nil
	case certainlyNot(ans.err):
		return s.failed(now, ans.err)
	}
	s.down = nil
	s.delay(now)
	return nil
}

// nextSegments returns the segments that the next tail names, and those that it no longer does.
func (s *slot) nextSegments(now time.Time) (refs []segmentRef, dropped []string) {
	merged := s.sealing != nil && s.sealing.replaces != nil
	placed := false
	for _, ref := range s.tail.segments {
		if merged && s.sealing.replaces[ref.Name] {
			// Later segments override earlier ones, so the merged one stands where the first of its parts stood.
			if !placed {
				refs = append(refs, s.sealing.ref)
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
	if s.sealing != nil && !merged {
		refs = append(refs, s.sealing.ref)
	}
	return refs, dropped
}

// finishSealing notes the segment that the tail names now, and forgets records that have expired.
func (s *slot) finishSealing(now time.Time) {
	if s.sealing == nil {
		return
	}
	s.segKeys[s.sealing.ref.Name] = s.sealing.keys
	s.sealing = nil
	s.sweep(now)
}

// dropSealing gives up a segment that no tail will name.
func (s *slot) dropSealing(named map[string]bool) {
	if s.sealing != nil && !named[s.sealing.ref.Name] {
		s.discard(s.sealing.ref.Name)
	}
	s.sealing = nil
}

// discard notes an object to delete; when the list is full, the object stays behind.
func (s *slot) discard(name string) {
	delete(s.segKeys, name)
	if len(s.garbage) < maxGarbageList {
		s.garbage = append(s.garbage, name)
	}
}

// sweep forgets the records that no longer count.
func (s *slot) sweep(now time.Time) {
	for k, r := range s.records {
		if r.expired(now) {
			delete(s.records, k)
		}
	}
}
