package ferryedge

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryplatform"
)

// brokenLeases panics once when the lease is read.
type brokenLeases struct {
	ferryplatform.RemoteStore
	broken atomic.Bool
}

func (s *brokenLeases) Get(ctx context.Context, kind, name string) (ferryplatform.Object, error) {
	if name == string(dutyPlacement) && !s.broken.Swap(true) {
		panic("broken lease")
	}
	return s.RemoteStore.Get(ctx, kind, name)
}

// TestPanicOfTheLeaseStaysInItsDuty has one panic while the lease is read.
func TestPanicOfTheLeaseStaysInItsDuty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, goOn(time.Second))
		f.remote = &brokenLeases{RemoteStore: f.store}
		e := f.start("e1", &slowLog{})
		for _, _, err := e.placement.lease.Check(); err != nil; _, _, err = e.placement.lease.Check() {
			time.Sleep(100 * time.Millisecond)
		}
		assert.Equal(t, e.log.count("panic in"), 1)
	})
}
