package ferryforward

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestStreamsThatWouldOutlastAPlannedStop begins a stream of about two seconds at an entry that is about to end.
func TestStreamsThatWouldOutlastAPlannedStop(t *testing.T) {
	for _, tt := range []struct {
		name   string
		ends   time.Duration
		others bool
		want   int
	}{
		{"long before the end", 5 * time.Second, true, 200},
		{"too late", time.Second, true, 503},
		{"too late, and no other entry serves", time.Second, false, 200},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBed(t)
				b.forward.cfg.OthersServe = func() bool { return tt.others }
				engines(b, func(*server) behaviour { return events(20, 100*time.Millisecond) })
				assert.Equal(t, b.call("POST", "/gen/x", "1").status, 200)
				b.forward.Stop(time.Now().Add(tt.ends))
				a := b.call("POST", "/gen/x", "2")
				assert.Equal(t, a.status, tt.want)
				if tt.want != 200 {
					assert.Equal(t, a.header.Get("Outcome"), "NotRun")
					assert.Equal(t, a.header.Get("Retry-After"), "0.05")
					assert.Equal(t, a.header.Get("Connection"), "close")
				}
			})
		})
	}
}
