package ferryclaim

import (
	"slices"

	"github.com/ansel1/merry/v2"

	"cactusferry.dev/ferry/ferryid"
)

const handOverPurpose = "ferryclaim hand-over"

// handOver is the state of a stopping incarnation that is stored nowhere else.
type handOver struct {
	From   ferryid.Incarnation   `cbor:"1,keyasint"`
	To     ferryid.Incarnation   `cbor:"2,keyasint"`
	HeirOf []ferryid.Incarnation `cbor:"3,keyasint"`
	Ops    []op                  `cbor:"4,keyasint"`
}

func (h handOver) check() error {
	if h.From == "" || h.To == "" {
		return merry.New("hand-over names no incarnations")
	}
	for _, o := range h.Ops {
		if o.Phase < phasePending || o.Phase > phaseRevoked {
			return merry.Errorf("hand-over: phase %d is unknown", o.Phase)
		}
		if o.Phase == phaseFinished {
			if err := o.Result.Check(); err != nil {
				return merry.Prepend(err, "hand-over")
			}
		}
	}
	return nil
}

// HeirError is returned if the state was sealed for another heir before, which may have received it.
type HeirError struct {
	Heir ferryid.Incarnation
}

func (e *HeirError) Error() string {
	return "tickets already handed over to " + string(e.Heir)
}

// close stops all granting here and returns the state for the heir; only one heir is ever named.
func (t *table) close(heir ferryid.Incarnation) (handOver, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.heir != "" && t.heir != heir {
		return handOver{}, &HeirError{Heir: t.heir}
	}
	t.heir = heir
	t.closed = true
	h := handOver{From: t.self, To: heir}
	for id := range t.heirOf {
		h.HeirOf = append(h.HeirOf, id)
	}
	slices.Sort(h.HeirOf)
	for _, o := range t.ops {
		if o.Phase == phasePending || o.Phase == phaseGranted {
			o.Phase = phaseRevoked
		}
		if o.Ticket && o.Phase == phaseRevoked {
			continue
		}
		h.Ops = append(h.Ops, *o)
	}
	slices.SortFunc(h.Ops, func(a, b op) int { return a.Ref.compare(b.Ref) })
	return h, nil
}

// takeOver makes this incarnation the heir; it is idempotent.
func (t *table) takeOver(h handOver) ([]op, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h.To != t.self {
		return nil, merry.Errorf("hand-over is for %s", h.To)
	}
	if t.closed {
		return nil, merry.New("this entry is stopping itself")
	}
	if t.heirOf[h.From] {
		return nil, nil
	}
	t.heirOf[h.From] = true
	for _, id := range h.HeirOf {
		t.heirOf[id] = true
	}
	for _, o := range h.Ops {
		t.ops[o.Ref] = &o
		if _, ok := t.byKey[o.Key]; !ok && !o.Ticket {
			t.byKey[o.Key] = o.Ref
		}
	}
	return h.Ops, nil
}

func decodeHandOver(s *Seal, sealed []byte) (handOver, error) {
	plain, err := s.open(handOverPurpose, sealed)
	if err != nil {
		return handOver{}, merry.Prepend(err, "open hand-over")
	}
	var h handOver
	if err := decMode.Unmarshal(plain, &h); err != nil {
		return handOver{}, merry.Prepend(err, "decode hand-over")
	}
	return h, h.check()
}
