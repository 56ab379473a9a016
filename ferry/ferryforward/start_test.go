package ferryforward

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryconfig"
)

// TestRequestsWaitForTheStart sends a request to an entry that learns the configuration only later.
func TestRequestsWaitForTheStart(t *testing.T) {
	for _, tt := range []struct {
		name         string
		starts       time.Duration
		want         int
		least, most  time.Duration
		retryExpects bool
	}{
		{"it starts at once", 0, 200, 0, 10 * time.Millisecond, false},
		{"it starts soon", 200 * time.Millisecond, 200, 200 * time.Millisecond, 210 * time.Millisecond, false},
		{"it does not start", time.Minute, 503, startWait, startWait + 10*time.Millisecond, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBed(t, "u")
				started := make(chan struct{})
				b.forward.cfg.Started = started
				late := &ferryconfig.Holder{}
				b.forward.cfg.Holder = late
				time.AfterFunc(tt.starts, func() {
					late.Offer(b.holder.Current())
					late.Prove(1, time.Now())
					close(started)
				})
				synctest.Wait()
				a := b.call("GET", "/safe/x", "1")
				assert.Equal(t, a.status, tt.want)
				assert.Equal(t, a.header.Get("Retry-After") != "", tt.retryExpects)
				assert.Assert(t, a.took >= tt.least && a.took < tt.most, "it took %s", a.took)
			})
		})
	}
}
