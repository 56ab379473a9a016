package ferryedge

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

// brokenClock panics whenever the duty that probes engines waits, once it is broken.
type brokenClock struct {
	clockwork.Clock
	broken atomic.Bool
}

func (c *brokenClock) After(d time.Duration) <-chan time.Time {
	if c.broken.Load() && d == probeDownInterval {
		panic("broken clock")
	}
	return c.Clock.After(d)
}

// TestFailedDutyEndsTheProcess has a duty that panics whenever it runs.
func TestFailedDutyEndsTheProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, goOn(time.Second))
		clock := &brokenClock{Clock: f.clock}
		f.clock = clock
		e := f.start("e1", &slowLog{})
		clock.broken.Store(true)
		select {
		case err := <-e.ended:
			assert.ErrorContains(t, err, "panic in")
		case <-time.After(time.Minute):
			t.Fatal("the process goes on a minute after a duty has failed for good")
		}
	})
}

// TestEndedContextEndsTheProcess has no signal.
func TestEndedContextEndsTheProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, goOn(time.Second))
		e := f.start("e1", &slowLog{})
		e.cancel()
		select {
		case err := <-e.ended:
			assert.NilError(t, err)
		case <-time.After(time.Minute):
			t.Fatal("the process goes on a minute after its context has ended")
		}
	})
}
