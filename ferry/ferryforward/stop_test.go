package ferryforward

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestStoppingEntryRefusesWhatItMayNotLiveToAnswer sends requests at several moments of a planned stop, on connections
// that were opened before it. None may be passed on that could still be running at the end of the grace: callers lost
// the answers to streams that were accepted 3.4 s into a grace of 8 s.
func TestStoppingEntryRefusesWhatItMayNotLiveToAnswer(t *testing.T) {
	const (
		acceptFor = 2800 * time.Millisecond
		endAfter  = 7500 * time.Millisecond
	)
	for _, tt := range []struct {
		target string
		limit  time.Duration // of the caller; the routes' own are 2 s and, for streams, 20 s
		after  time.Duration
		served bool
	}{
		{"/events/x", 20 * time.Second, 0, true},
		{"/events/x", 20 * time.Second, 2700 * time.Millisecond, true},
		{"/events/x", 20 * time.Second, 2800 * time.Millisecond, false},
		{"/events/x", 20 * time.Second, 3400 * time.Millisecond, false},
		{"/events/x", 20 * time.Second, 7 * time.Second, false},
		{"/events/x", 3 * time.Second, 3400 * time.Millisecond, true},
		{"/events/x", 3 * time.Second, 4600 * time.Millisecond, false},
		{"/live/x", 20 * time.Second, 0, false},
		{"/live/x", 7 * time.Second, 0, true},
		{"/live/x", 7 * time.Second, time.Second, false},
		{"/once/x", 20 * time.Second, 0, true},
		{"/once/x", 20 * time.Second, 5400 * time.Millisecond, true},
		{"/once/x", 20 * time.Second, 5600 * time.Millisecond, false},
		{"/once/x", time.Second, 6400 * time.Millisecond, true},
		{"/safe/x", 20 * time.Second, 5600 * time.Millisecond, false},
		{"/open/x", 20 * time.Second, time.Second, true},
		{"/open/x", 20 * time.Second, 3 * time.Second, false},
	} {
		t.Run(fmt.Sprintf("%s, limit %s, after %s", tt.target, tt.limit, tt.after), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newHarness(t, "p1")
				up := b.upstreams["p1"]
				up.setHandler(countRuns(up, func(c net.Conn, r *http.Request) bool {
					if r.URL.Path == "/events/x" || r.URL.Path == "/live/x" {
						return streamEvents(3, 10*time.Millisecond)(c, r)
					}
					return answerOK(c, r)
				}))
				c := b.dial()
				defer c.Close()
				began := time.Now()
				b.forwarder.Stop(began.Add(acceptFor), began.Add(endAfter))
				time.Sleep(tt.after)
				b.holder.Prove(1, time.Now())
				a := b.callOn(c, http.MethodGet, tt.target, "r1", "Key: good", fmt.Sprintf("Wait-Ms: %d", tt.limit.Milliseconds()))
				assert.NilError(t, a.err)
				if tt.served {
					assert.Equal(t, a.status, http.StatusOK)
					assert.Equal(t, up.runCount(), 1)
					return
				}
				assert.Equal(t, a.status, http.StatusServiceUnavailable)
				assert.Equal(t, up.runCount(), 0)
				assert.Equal(t, a.header.Get("Retry-After"), "0.05")
				assert.Assert(t, a.took < 100*time.Millisecond, "refused after %s", a.took)
			})
		})
	}
}
