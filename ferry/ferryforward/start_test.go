package ferryforward

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryconfig"
)

// TestRequestsWaitForStartup sends a request to an entry that is still loading its configuration.
func TestRequestsWaitForStartup(t *testing.T) {
	for _, tt := range []struct {
		name         string
		starts       time.Duration
		want         int
		least, most  time.Duration
		retryExpects bool
	}{
		{"entry starts at once", 0, 200, 0, 10 * time.Millisecond, false},
		{"entry starts within startWait", 200 * time.Millisecond, 200, 200 * time.Millisecond, 210 * time.Millisecond, false},
		{"entry does not start", time.Minute, 503, startWait, startWait + 10*time.Millisecond, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newHarness(t, "u")
				started := make(chan struct{})
				b.forwarder.cfg.Started = started
				late := &ferryconfig.Holder{}
				b.forwarder.cfg.Holder = late
				time.AfterFunc(tt.starts, func() {
					late.Offer(b.holder.Current())
					late.Prove(1, time.Now())
					close(started)
				})
				synctest.Wait()
				a := b.call("GET", "/safe/x", "1")
				assert.Equal(t, a.status, tt.want)
				assert.Equal(t, a.header.Get("Retry-After") != "", tt.retryExpects)
				assert.Assert(t, a.took >= tt.least && a.took < tt.most, "request took %s", a.took)
			})
		})
	}
}
