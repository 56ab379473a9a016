package ferryforward

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryconfig"
)

// unansweredLine is the part of the log line of an unanswered request that the test compares.
type unansweredLine struct {
	Request, Reason        string
	Configuration, InForce uint64
	InForceFor             int64
	Started                bool
	Message                string
}

// unansweredLines returns the lines of unanswered requests in a log.
func unansweredLines(t *testing.T, log []byte) []unansweredLine {
	t.Helper()
	var out []unansweredLine
	for line := range bytes.Lines(log) {
		var l unansweredLine
		assert.NilError(t, json.Unmarshal(line, &l))
		if l.Message == "request ended without a complete answer" {
			l.Message = ""
			out = append(out, l)
		}
	}
	return out
}

func TestUnansweredRequestIsLoggedWithItsReason(t *testing.T) {
	breaksOff := func(c net.Conn, r *http.Request) bool { return streamEventsUpTo(c, r, 2, 5, time.Second) }
	for _, tt := range []struct {
		name   string
		target string
		handle handler
		// leaveAfter is when the caller disconnects; zero means never.
		leaveAfter time.Duration
		reason     string
		lines      []unansweredLine
	}{
		{"complete", "/live/x", streamEvents(5, time.Second), 0, "", nil},
		{"upstream broke off", "/live/x", breaksOff, 0, "UpstreamFailed", []unansweredLine{{Request: "1", Reason: "UpstreamFailed", Configuration: 1, InForce: 2, InForceFor: 1500, Started: true}}},
		{"deadline", "/live/x", pausedStream(5, 3, 30*time.Second), 0, "Deadline", []unansweredLine{{Request: "1", Reason: "Deadline", Configuration: 1, InForce: 2, InForceFor: 19500, Started: true}}},
		{"caller disconnected", "/live/x", pausedStream(5, 3, 30*time.Second), time.Second, "CallerDisconnected", nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newHarness(t, "u")
				var log bytes.Buffer
				scope := tally.NewTestScope("", nil)
				b.forwarder.log, b.forwarder.metrics = zerolog.New(&log), metrics{scope}
				b.upstreams["u"].setHandler(tt.handle)
				time.AfterFunc(500*time.Millisecond, func() { b.setRoute("live", func(*ferryconfig.Route) {}) })
				c := b.dial()
				if tt.leaveAfter > 0 {
					time.AfterFunc(tt.leaveAfter, func() { c.Close() })
				}
				b.callOn(c, "GET", tt.target, "1")
				time.Sleep(100 * time.Millisecond) // lets the handler of a caller that left end
				synctest.Wait()
				assert.DeepEqual(t, unansweredLines(t, log.Bytes()), tt.lines)
				counted := map[string]int64{}
				for _, n := range scope.Snapshot().Counters() {
					if n.Name() == "requests_unanswered" {
						counted[n.Tags()["reason"]] = n.Value()
					}
				}
				want := map[string]int64{}
				if tt.reason != "" {
					want[tt.reason] = 1
				}
				assert.DeepEqual(t, counted, want)
			})
		})
	}
}

// TestLinesOfAStopTellWhenTheirRequestsWereAccepted compares a planned stop's cut and refused streams: no line told
// whether they had been accepted before it.
func TestLinesOfAStopTellWhenTheirRequestsWereAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, "u")
		var log bytes.Buffer
		b.forwarder.log = zerolog.New(&log)
		b.upstreams["u"].setHandler(func(c net.Conn, r *http.Request) bool { return streamEventsUpTo(c, r, 2, 5, 300*time.Millisecond) })
		began := time.Now().Add(2 * time.Second)
		time.AfterFunc(2*time.Second, func() { b.forwarder.Stop(began.Add(2800*time.Millisecond), began.Add(7500*time.Millisecond)) })
		for _, at := range []time.Duration{0, 1800 * time.Millisecond, 3500 * time.Millisecond, 7 * time.Second} {
			time.Sleep(time.Until(began.Add(at - 2*time.Second)))
			b.holder.Prove(1, time.Now())
			b.call(http.MethodGet, "/live/x", at.String(), "Key: good", "Wait-Ms: 3000")
		}
		synctest.Wait()
		type line struct {
			Request, Kind, Reason string
			AfterStop             *int64
		}
		var got []line
		for text := range bytes.Lines(log.Bytes()) {
			var l line
			assert.NilError(t, json.Unmarshal(text, &l))
			if l.Kind == "Draining" || l.Reason != "" {
				if l.AfterStop != nil {
					*l.AfterStop = (time.Duration(*l.AfterStop) * time.Millisecond).Round(10 * time.Millisecond).Milliseconds()
				}
				got = append(got, l)
			}
		}
		ms := func(n int64) *int64 { return &n }
		assert.DeepEqual(t, got, []line{
			{Request: "0s", Reason: "UpstreamFailed"},
			{Request: "1.8s", Reason: "UpstreamFailed", AfterStop: ms(-200)},
			{Request: "3.5s", Reason: "UpstreamFailed", AfterStop: ms(1500)},
			{Request: "7s", Kind: "Draining", AfterStop: ms(5000)},
		})
	})
}
