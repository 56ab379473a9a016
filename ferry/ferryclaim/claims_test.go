package ferryclaim

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
	"cactusferry.dev/ferry/ferryplatform/ferryplatformtest"
)

// testCluster is a few entries that share one fake platform and call each other directly, on a
// synctest clock.
type testCluster struct {
	platform *ferryplatformtest.Fake
	claims   map[ferryid.Incarnation]*Claims
	forwards atomic.Int32
}

// Ask implements Asker.
func (f *testCluster) Ask(_ context.Context, id ferryid.Incarnation, q Question) (Answer, error) {
	c, ok := f.claims[id]
	if !ok {
		return Answer{}, errLost
	}
	return c.Answer(q), nil
}

// Forward implements Forwarder; every fifth answer is lost.
func (f *testCluster) Forward(ctx context.Context, id ferryid.Incarnation, ws []Write) ([]Decision, error) {
	c, ok := f.claims[id]
	if !ok {
		return nil, errLost
	}
	ds, err := c.Write(ctx, ws)
	if f.forwards.Add(1)%5 == 0 {
		return nil, errLost
	}
	return ds, err
}

func newTestCluster(t *testing.T, n int) *testCluster {
	t.Helper()
	clock := clockwork.NewRealClock()
	f := &testCluster{platform: ferryplatformtest.New(clock), claims: map[ferryid.Incarnation]*Claims{}}
	seal, err := NewSeal(make([]byte, 32))
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for i := range n {
		id := incarnation(i + 1)
		live := func() []ferryid.Incarnation { return []ferryid.Incarnation{"i1", "i2", "i3"}[:n] }
		c := New(Config{Self: id, Store: f.platform, Seal: seal, Clock: clock, Asker: f, Forwarder: f, Live: live, Slots: 4})
		f.claims[id] = c
	}
	for _, c := range f.claims {
		wg.Go(func() { _ = c.Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return f
}

func call(key string) Call {
	return Call{Customer: "c", Service: "s", Key: key, Digest: DigestOf([]byte("one"))}
}

// TestOneOfManyConcurrentCallsRuns guards against a key that runs twice, or not at all though its callers come back as
// they are told to.
func TestOneOfManyConcurrentCallsRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const keys, callers = 10, 6
		f := newTestCluster(t, 3)
		f.platform.SetFaults(ferryplatformtest.Faults{LoseAnswers: 3, LateEffectMS: 20})
		var ran [keys]atomic.Int32
		var wg sync.WaitGroup
		for i := range keys * callers {
			wg.Go(func() {
				c := f.claims[incarnation(i%3+1)]
				k := i / callers
				for range 20 {
					cl, err := c.Begin(t.Context(), call(fmt.Sprintf("k%d", k)))
					if err == nil {
						if cl.MarkDispatched() == nil {
							ran[k].Add(1)
							cl.Finish(t.Context(), Result{Outcome: ferryoutcome.Ran, Status: 200, Complete: true, Body: []byte("fed")})
						}
						return
					}
					if errors.As(err, new(*Replay)) {
						return
					}
					var p *ferryoutcome.Problem
					assert.Check(t, errors.As(err, &p), "%v", err)
					time.Sleep(p.RetryAfter)
				}
				t.Errorf("a caller of k%d has no answer", k)
			})
		}
		wg.Wait()
		for k := range keys {
			assert.Check(t, is.Equal(ran[k].Load(), int32(1)), "runs of k%d", k)
		}
		for _, c := range f.claims {
			assert.Check(t, c.Flush(t.Context()))
			for k := range keys {
				_, err := c.Begin(t.Context(), call(fmt.Sprintf("k%d", k)))
				var rep *Replay
				assert.Check(t, errors.As(err, &rep), "%v", err)
				assert.Check(t, rep != nil && rep.Complete && string(rep.Body) == "fed")
			}
		}
	})
}

func TestPlatformDownRefusesKeysButRunsTickets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster(t, 1)
		f.platform.SetFaults(ferryplatformtest.Faults{Outage: true})
		c := f.claims["i1"]
		_, err := c.Begin(t.Context(), call("a"))
		var p *ferryoutcome.Problem
		assert.Assert(t, errors.As(err, &p))
		assert.Equal(t, p.Kind, ferryoutcome.KindPlatformDown)
		assert.Equal(t, p.Outcome, ferryoutcome.NotRun)
		assert.Equal(t, p.RetryAfter, platformRetryAfter)

		tk, err := c.IssueTicket("c", "s")
		assert.NilError(t, err)
		byTicket := Call{Customer: "c", Service: "s", Ticket: tk, Digest: DigestOf([]byte("one"))}
		cl, err := c.Begin(t.Context(), byTicket)
		assert.NilError(t, err)
		assert.NilError(t, cl.MarkDispatched())
		cl.Finish(t.Context(), Result{Outcome: ferryoutcome.Ran, Status: 204, Complete: true})
		_, err = c.Begin(t.Context(), byTicket)
		var rep *Replay
		assert.Assert(t, errors.As(err, &rep))
		assert.Equal(t, rep.Status, 204)
	})
}

func TestHandOverAcceptsOneHeirOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster(t, 3)
		sealed, err := f.claims["i1"].HandOver("i2")
		assert.NilError(t, err)
		_, err = f.claims["i1"].HandOver("i3")
		var he *HeirError
		assert.Assert(t, errors.As(err, &he))
		assert.ErrorContains(t, f.claims["i3"].TakeOver(sealed), "hand-over is for i2")
		assert.NilError(t, f.claims["i2"].TakeOver(sealed))
		assert.NilError(t, f.claims["i2"].TakeOver(sealed))
	})
}

func TestCancelledCallIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster(t, 2)
		f.platform.SetFaults(ferryplatformtest.Faults{DelayMS: 1000})
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err := f.claims["i1"].Begin(ctx, call("a"))
		assert.Equal(t, outcomeOf(err), ferryoutcome.NotRun)
		f.platform.SetFaults(ferryplatformtest.Faults{})
		cl, err := f.claims["i2"].Begin(t.Context(), call("a"))
		if assert.Check(t, err) {
			assert.Check(t, cl.MarkDispatched())
		}
	})
}
