package ferryclaim

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryoutcome"
)

func testSeal(tb testing.TB) *Seal {
	tb.Helper()
	s, err := NewSeal(make([]byte, 32))
	assert.NilError(tb, err)
	return s
}

func someJournal() journal {
	return journal{
		records: []Record{
			{Key: DigestOf([]byte("a")), Ref: Ref{"i1", 1}, State: StateClaimed, Until: 7},
			{Key: DigestOf([]byte("b")), Ref: Ref{"i1", 2}, State: StateFinished, Until: 9, Result: Result{Outcome: ferryoutcome.Ran, Status: 200}},
		},
		segments: []segmentRef{{Name: "0000.i1.1", Newest: 9}},
	}
}

func FuzzJournal(f *testing.F) {
	b, err := someJournal().encode()
	assert.NilError(f, err)
	f.Add(b)
	f.Add(b[:len(b)-3])
	f.Fuzz(func(t *testing.T, b []byte) {
		j, err := decodeJournal(b)
		if err != nil {
			return
		}
		again, err := j.encode()
		assert.NilError(t, err)
		_, err = decodeJournal(again)
		assert.NilError(t, err)
	})
}

func FuzzTicket(f *testing.F) {
	ts := Tickets{testSeal(f)}
	text, err := ts.encode(Ticket{Ref: Ref{"i1", 1}, Issued: 5, Customer: "c", Service: "s", Heir: HeirRendezvous})
	assert.NilError(f, err)
	plain, _ := encMode.Marshal(Ticket{Ref: Ref{"i1", 1}, Heir: HeirRendezvous})
	f.Add(text, plain)
	f.Fuzz(func(t *testing.T, text string, plain []byte) {
		_, _ = ts.Open(text)
		sealed, err := ts.Open(encodeSealed(ts, plain))
		if err == nil {
			assert.Assert(t, sealed.Ref.By != "" && sealed.Ref.N != 0)
		}
	})
}

func FuzzHandOver(f *testing.F) {
	s := testSeal(f)
	tb := newTable("i1")
	_, _ = tb.claim(Call{Retention: time.Hour}, Digest{}, time.Unix(5, 0))
	h, err := tb.close("i2")
	assert.NilError(f, err)
	plain, err := encMode.Marshal(h)
	assert.NilError(f, err)
	f.Add(plain)
	f.Fuzz(func(_ *testing.T, plain []byte) {
		h, err := decodeHandOver(s, s.seal(handOverPurpose, plain))
		if err != nil {
			return
		}
		_, _ = newTable(h.To).takeOver(h)
	})
}

func FuzzMessages(f *testing.F) {
	b, err := encMode.Marshal(Write{Record: someJournal().records[1]})
	assert.NilError(f, err)
	f.Add(b)
	f.Fuzz(func(_ *testing.T, b []byte) {
		var w Write
		var q Question
		var a Answer
		var d Decision
		_ = decMode.Unmarshal(b, &w)
		_ = decMode.Unmarshal(b, &q)
		_ = decMode.Unmarshal(b, &a)
		_ = decMode.Unmarshal(b, &d)
		_ = w.Check(64)
	})
}
