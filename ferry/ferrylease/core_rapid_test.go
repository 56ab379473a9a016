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

// object simulates the lease object with unavailability, lost answers and late writes, and restores from a copy.
type object struct {
	epoch    ferryplatform.Epoch
	revision uint64
	value    []byte
	late     []put
	// saved is the copy; one without a revision lacks the lease.
	saved struct {
		revision uint64
		value    []byte
	}
}

func (o *object) version() ferryplatform.Version {
	if o.revision == 0 {
		return ferryplatform.NoVersion
	}
	return ferryplatform.VersionAt(o.epoch, o.revision)
}

func (o *object) save() { o.saved.revision, o.saved.value = o.revision, o.value }

func (o *object) restore() {
	o.epoch++
	o.revision, o.value = o.saved.revision, o.saved.value
}

// apply writes the object if its revision is the expected one, whatever the epoch, as the platform knows no epochs of
// conditions.
func (o *object) apply(p put) (ferryplatform.Version, error) {
	if o.revision != p.expected.Revision() {
		return 0, &ferryplatform.ConflictError{Kind: ObjectKind, Expected: p.expected}
	}
	o.revision++
	o.value = p.record.encode()
	if p.expected != ferryplatform.NoVersion && p.expected.Epoch() != o.epoch {
		return 0, &ferryplatform.UnknownOutcomeError{Op: "x", Err: errLost}
	}
	return o.version(), nil
}

func (o *object) do(a action, fault int) answer {
	down := &ferryplatform.UnavailableError{Op: "x", Err: errLost}
	p, write := a.(put)
	switch {
	case fault == 1:
		return answer{err: down}
	case !write && o.revision == 0:
		return answer{err: &ferryplatform.NotFoundError{}}
	case !write:
		return answer{object: ferryplatform.Object{Version: o.version(), Value: o.value}}
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
	// epoch is the platform's as of the answer.
	epoch ferryplatform.Epoch
}

var epoch = time.Unix(1_800_000_000, 0)

func (h *holder) now(elapsed time.Duration) time.Time {
	return epoch.Add(time.Duration(float64(elapsed) * h.rate))
}

// step starts a call or delivers its answer. A paused holder makes no steps.
func (h *holder) step(o *object, elapsed time.Duration, fault int) {
	if h.pending == nil {
		h.pending = h.c.next(h.now(elapsed))
		p, write := h.pending.(put)
		switch {
		case h.pending == nil:
		case write && p.expected != ferryplatform.NoVersion && p.expected.Epoch() < h.c.epoch:
			h.ans = answer{err: &ferryplatform.ConflictError{Kind: ObjectKind, Expected: p.expected}} // by the client
		default:
			h.ans = o.do(h.pending, fault)
			if !errors.As(h.ans.err, new(*ferryplatform.UnavailableError)) && !errors.Is(h.ans.err, errLost) {
				h.epoch = o.epoch
			}
		}
		return
	}
	a := h.pending
	h.pending = nil
	if h.epoch > 0 {
		h.c.setEpoch(h.now(elapsed), h.epoch)
	}
	h.c.handle(h.now(elapsed), a, h.ans)
}

// leaseHistory plays a history on a platform that is restored from a copy if its epoch is above 0.
func leaseHistory(rt *rapid.T, epoch ferryplatform.Epoch) {
	o := &object{epoch: epoch}
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
		"copy":     func(*rapid.T) { o.save() },
		"restore": func(*rapid.T) {
			if o.epoch > 0 {
				o.restore()
				o.late = nil
			}
		},
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
	rapid.Check(t, func(rt *rapid.T) { leaseHistory(rt, 0) })
}

// TestLeaseHistoriesWithRestores guards against two holders at a time and against fencing numbers that go back after the
// platform has lost the last lease.
func TestLeaseHistoriesWithRestores(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) { leaseHistory(rt, 1) })
}
