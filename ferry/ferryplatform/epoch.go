package ferryplatform

import (
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
)

// Epoch is the number of times that the platform has come back from a copy of its objects; 0 if it states none.
//
// In a new epoch the platform gives out revisions again, for other writes than before.
type Epoch uint16

const (
	revisionBits = 52
	maxRevision  = 1<<revisionBits - 1
	// MaxEpoch is the last epoch that a version can hold.
	MaxEpoch Epoch = 1<<(64-revisionBits) - 1
)

// VersionAt returns the version of a write by its epoch and its revision, of which the lower 52 bits count. Versions of a
// later epoch are higher.
func VersionAt(e Epoch, revision uint64) Version {
	return Version(uint64(e)<<revisionBits | revision&maxRevision)
}

// Epoch returns the epoch of the write.
func (v Version) Epoch() Epoch { return Epoch(v >> revisionBits) }

// Revision returns the platform's number for the write, which is unique within the epoch only.
func (v Version) Revision() uint64 { return uint64(v) & maxRevision }

// String returns the revision, with the epoch unless that is 0.
func (v Version) String() string {
	if v.Epoch() == 0 {
		return strconv.FormatUint(v.Revision(), 10)
	}
	return fmt.Sprintf("%d of epoch %d", v.Revision(), v.Epoch())
}

// OldEpochError reports an answer that the platform gave before it came back from a copy.
type OldEpochError struct {
	Epoch, Current Epoch
}

func (e *OldEpochError) Error() string {
	return fmt.Sprintf("answer of epoch %d of the platform, which is in epoch %d", e.Epoch, e.Current)
}

// RevisionError reports a revision that no version can hold.
type RevisionError struct{ Revision uint64 }

func (e *RevisionError) Error() string {
	return fmt.Sprintf("revision %d is above %d", e.Revision, uint64(maxRevision))
}

// epochState is the latest epoch that the platform has stated, plus one; 0 if it has stated none.
type epochState struct{ next atomic.Uint32 }

func (s *epochState) get() (Epoch, bool) {
	next := s.next.Load()
	if next == 0 {
		return 0, false
	}
	return Epoch(next - 1), true
}

// observe records a stated epoch, or returns an *OldEpochError.
func (s *epochState) observe(e Epoch) error {
	for {
		old := s.next.Load()
		switch next := uint32(e) + 1; {
		case next == old:
			return nil
		case next < old:
			return &OldEpochError{Epoch: e, Current: Epoch(old - 1)}
		case s.next.CompareAndSwap(old, next):
			return nil
		}
	}
}

// Epoch returns the latest epoch that the platform has stated; false means that it has stated none.
func (c *Client) Epoch() (Epoch, bool) { return c.epoch.get() }

// answerEpoch returns the epoch of an answer, which is the latest one if the answer states none.
func (c *Client) answerEpoch(h http.Header) (Epoch, error) {
	e, stated, err := c.protocol.Epoch(h)
	switch {
	case err != nil:
		return 0, err
	case !stated:
		latest, _ := c.epoch.get()
		return latest, nil
	}
	return e, c.epoch.observe(e)
}

// checkEpoch returns the error of a call that refers to a version of another epoch than the given one, where that version
// is a different write or none. A write that was sent may have met its condition by chance.
func checkEpoch(in Call, e Epoch, sent bool) error {
	switch {
	case in.Op == OpWatch && in.After != NoVersion && in.After.Epoch() != e:
		return &HistoryGoneError{Kind: in.Kind, After: in.After}
	case !in.isWrite() || in.Expected == NoVersion || in.Expected.Epoch() == e:
		return nil
	case sent:
		return &UnknownOutcomeError{Op: in.String(), Err: &OldEpochError{Epoch: in.Expected.Epoch(), Current: e}}
	}
	return &ConflictError{Kind: in.Kind, Name: in.Name, Expected: in.Expected}
}

// setEpoch sets the epoch of all versions of a reply.
func (r *Reply) setEpoch(e Epoch) error {
	set := func(v *Version) error {
		if uint64(*v) > maxRevision {
			return &RevisionError{Revision: uint64(*v)}
		}
		if *v != NoVersion {
			*v = VersionAt(e, uint64(*v))
		}
		return nil
	}
	versions := []*Version{&r.Version, &r.Object.Version, &r.Changes.Version}
	for i := range r.Changes.Objects {
		versions = append(versions, &r.Changes.Objects[i].Version)
	}
	for _, v := range versions {
		if err := set(v); err != nil {
			return err
		}
	}
	return nil
}
