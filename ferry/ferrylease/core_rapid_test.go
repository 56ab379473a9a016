package ferrylease

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryplatform"
)

var errLost = errors.New("answer lost")

// object simulates the lease object with unavailability, lost answers and late writes.
type object struct {
	version ferryplatform.Version
	value   []byte
	late    []put
}

func (o *object) apply(p put) (ferryplatform.Version, error) {
	if o.version != p.expected {
		return 0, &ferryplatform.ConflictError{Kind: ObjectKind, Expected: p.expected}
	}
	o.version++
	o.value = p.record.encode()
	return o.version, nil
}

func (o *object) do(a action, fault int) answer {
	down := &ferryplatform.UnavailableError{Op: "x", Err: errLost}
	p, write := a.(put)
	switch {
	case fault == 1:
		return answer{err: down}
	case !write && o.version == 0:
		return answer{err: &ferryplatform.NotFoundError{}}
	case !write:
		return answer{object: ferryplatform.Object{Version: o.version, Value: o.value}}
	case fault == 2:
		_, _ = o.apply(p)
	case fault == 3:
		o.late = append(o.late, p)
	case fault != 4:
		v, err := o.apply(p)
		return answer{version: v, err: err}
	}
	return answer{err: &ferryplatform.UnknownOutcomeError{Op: "x", Err: errLost}}
}

// holder is one entry whose clock may run fast or slow by 1 %.
type holder struct {
	c       *core
	rate    float64
	pending action
	ans     answer
}

var epoch = time.Unix(1_800_000_000, 0)

func (h *holder) now(elapsed time.Duration) time.Time {
	return epoch.Add(time.Duration(float64(elapsed) * h.rate))
}

// step starts a call or delivers its answer. A paused holder makes no steps.
func (h *holder) step(o *object, elapsed time.Duration, fault int) {
	if h.pending == nil {
		if h.pending = h.c.next(h.now(elapsed)); h.pending != nil {
			h.ans = o.do(h.pending, fault)
		}
		return
	}
	a := h.pending
	h.pending = nil
	h.c.handle(h.now(elapsed), a, h.ans)
}

func leaseHistory(rt *rapid.T) {
	o := &object{}
	var hs []*holder
	for i, rate := range []float64{1, 1.01, 0.99} {
		c := newCore(ferryid.Incarnation(fmt.Sprint("i", i)), 10*time.Second, time.Second, nil)
		c.wanted = true
		c.follow = i > 0
		hs = append(hs, &holder{c: c, rate: rate})
	}
	elapsed := time.Duration(0)
	var highest ferryid.Fence
	down := false
	check := func(rt *rapid.T) {
		n := 0
		for _, h := range hs {
			if !h.c.valid(h.now(elapsed)) {
				continue
			}
			n++
			if h.c.record.Fence < highest {
				rt.Fatalf("%s holds the lease with fencing number %d after %d", h.c.self, h.c.record.Fence, highest)
			}
			highest = h.c.record.Fence
		}
		if n > 1 {
			rt.Fatalf("%d valid holders at the same time", n)
		}
	}
	step := func(rt *rapid.T, h *holder) {
		fault := rapid.SampledFrom([]int{0, 0, 0, 0, 1, 2, 3, 4}).Draw(rt, "fault")
		if down {
			fault = 1
		}
		h.step(o, elapsed, fault)
	}
	pick := func(rt *rapid.T) *holder { return hs[rapid.IntRange(0, 2).Draw(rt, "holder")] }
	rt.Repeat(map[string]func(*rapid.T){
		"step": func(rt *rapid.T) { step(rt, pick(rt)) },
		"steps": func(rt *rapid.T) {
			h := pick(rt)
			for range 4 {
				step(rt, h)
			}
		},
		"want":     func(rt *rapid.T) { pick(rt).c.setWanted(rapid.IntRange(0, 3).Draw(rt, "want") > 0) },
		"platform": func(rt *rapid.T) { down = rapid.IntRange(0, 3).Draw(rt, "down") == 0 },
		"late writes": func(*rapid.T) {
			for _, p := range o.late {
				_, _ = o.apply(p)
			}
			o.late = nil
		},
		"time": func(rt *rapid.T) {
			ds := []time.Duration{10 * time.Millisecond, time.Second, 4 * time.Second, 11 * time.Second}
			elapsed += rapid.SampledFrom(ds).Draw(rt, "time")
		},
		"": check,
	})
	for i := range 400 {
		elapsed += 100 * time.Millisecond
		for _, h := range hs {
			h.c.setWanted(i < 200)
			h.step(o, elapsed, 0)
			h.step(o, elapsed, 0)
			check(rt)
		}
		if i == 199 && !anyValid(hs, elapsed) {
			rt.Fatalf("no valid holder after 20 s without faults")
		}
	}
	for _, h := range hs {
		if h.c.mayBeHolder || h.c.record.Holder == h.c.self {
			rt.Fatalf("%s did not release the lease", h.c.self)
		}
	}
}

func anyValid(hs []*holder, elapsed time.Duration) bool {
	for _, h := range hs {
		if h.c.valid(h.now(elapsed)) {
			return true
		}
	}
	return false
}

func TestLeaseHistories(t *testing.T) {
	rapid.Check(t, leaseHistory)
}
