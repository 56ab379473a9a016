package ferryclaim

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
	"cactusferry.dev/ferry/ferryplatform"
)

// KeyStatus is the state of one idempotency key in the journal.
type KeyStatus struct {
	Customer ferryid.CustomerName `json:"Customer"`
	Key      string               `json:"Key"`
	State    string               `json:"State"`
	// By is the claiming incarnation; in state Claimed, no other knows whether the call was sent.
	By      ferryid.Incarnation  `json:"By"`
	Outcome ferryoutcome.Outcome `json:"Outcome,omitempty"`
	Status  int                  `json:"Status,omitempty"`
	Until   time.Time            `json:"Until"`
}

func (s State) String() string {
	switch s {
	case StateClaimed:
		return "Claimed"
	case StateReleased:
		return "Released"
	case StateFinished:
		return "Finished"
	}
	return fmt.Sprintf("State(%d)", uint8(s))
}

func slotName(index int) string {
	return fmt.Sprintf("%04d", index)
}

// lookup reads the journal and caches the objects read.
type lookup struct {
	claims *Claims
	read   map[string]journal
}

// Lookup returns the status of a key for each customer that uses it, reading each journal object
// at most once.
func (c *Claims) Lookup(ctx context.Context, s ferryid.ServiceName, key string, customers []ferryid.CustomerName) ([]KeyStatus, error) {
	l := &lookup{claims: c, read: map[string]journal{}}
	found := []KeyStatus{}
	for _, cu := range customers {
		rec, ok, err := l.find(ctx, keyDigest(cu, s, key))
		if err != nil {
			return nil, merry.Prepend(err, "look up key")
		}
		if ok && !rec.expired(c.cfg.Clock.Now()) {
			found = append(found, statusOf(cu, key, rec))
		}
	}
	return found, nil
}

func statusOf(cu ferryid.CustomerName, key string, rec Record) KeyStatus {
	return KeyStatus{
		Customer: cu, Key: key, State: rec.State.String(), By: rec.Ref.By,
		Outcome: rec.Result.Outcome, Status: rec.Result.Status, Until: time.Unix(rec.Until, 0).UTC(),
	}
}

// find searches the slot's object, then its segments from the newest to the oldest.
func (l *lookup) find(ctx context.Context, k Digest) (Record, bool, error) {
	j, err := l.journal(ctx, ObjectKindSlot, slotName(l.claims.slotIndex(k)))
	if err != nil {
		return Record{}, false, err
	}
	if rec, ok := j.find(k); ok {
		return rec, true, nil
	}
	for _, seg := range slices.Backward(j.segments) {
		old, err := l.journal(ctx, ObjectKindSegment, seg.Name)
		if err != nil {
			return Record{}, false, err
		}
		if rec, ok := old.find(k); ok {
			return rec, true, nil
		}
	}
	return Record{}, false, nil
}

func (j journal) find(k Digest) (Record, bool) {
	i := slices.IndexFunc(j.records, func(r Record) bool { return r.Key == k })
	if i < 0 {
		return Record{}, false
	}
	return j.records[i], true
}

// journal returns one object of the journal, empty if the object does not exist.
func (l *lookup) journal(ctx context.Context, kind, name string) (journal, error) {
	if j, ok := l.read[name]; ok {
		return j, nil
	}
	o, err := l.claims.cfg.Store.Get(ctx, kind, name)
	var missing *ferryplatform.NotFoundError
	if errors.As(err, &missing) {
		err = nil
	}
	if err != nil {
		return journal{}, err
	}
	j := journal{}
	if missing == nil {
		if j, err = decodeJournal(o.Value); err != nil {
			return journal{}, err
		}
	}
	l.read[name] = j
	return j, nil
}
