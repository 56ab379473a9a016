package ferryforward

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferrynettest"
)

// answerStatus answers with a status and the further headers.
func answerStatus(status, header string) handler {
	return func(c net.Conn, r *http.Request) bool {
		writef(c, "HTTP/1.1 %s x\r\nRequest-Id: %s\r\nSigned: yes\r\n%sContent-Length: 3\r\n\r\nbad", status, r.Header.Get("Request-Id"), header)
		return true
	}
}

// TestStatusThatIsNotFinal guards against passing an upstream's status that is not final on to the caller of a plain call
// or a stream, and against running a request twice that may not be repeated: not even an upstream that says beside such
// a status that it has not run the request is sure of it.
func TestStatusThatIsNotFinal(t *testing.T) {
	for text := range ferrynettest.InvalidStatuses {
		for _, header := range []string{"", "Not-Run: 1\r\n"} {
			for _, tt := range []struct {
				target string
				runs   int
			}{{"/safe/x", 2}, {"/once/x", 1}, {"/events/x", 2}, {"/live/x", 1}} {
				t.Run(fmt.Sprintf("%s %s %q", text, tt.target, header), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						b := newHarness(t, "u", "v", "w")
						for _, name := range []string{"u", "v", "w"} {
							s := b.upstreams[name]
							s.setHandler(countRuns(s, answerStatus(text, header)))
						}
						a := b.call("POST", tt.target, "1")
						assert.NilError(t, a.err)
						assert.Equal(t, a.status, http.StatusBadGateway)
						assert.Equal(t, a.header.Get("Outcome"), "Unknown")
						runs := 0
						for _, s := range b.upstreams {
							runs += s.runCount()
						}
						assert.Equal(t, runs, tt.runs)
					})
				})
			}
		}
	}
}

// TestStatusThatIsNotFinalIsAFailureOfItsUpstream guards against an upstream that answers so counting as healthy: the other
// upstream gets all requests after the first such answer, as after a malformed one.
func TestStatusThatIsNotFinalIsAFailureOfItsUpstream(t *testing.T) {
	failures := map[string]handler{"malformed": func(c net.Conn, _ *http.Request) bool { writef(c, "nonsense\r\n\r\n"); return true }}
	for text := range ferrynettest.InvalidStatuses {
		failures[text] = answerStatus(text, "")
	}
	for name, do := range failures {
		for _, target := range []string{"/once/x", "/live/x"} {
			t.Run(name+" "+target, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newHarness(t, "u", "v")
					b.upstreams["u"].setHandler(countRuns(b.upstreams["u"], do))
					b.upstreams["v"].setHandler(answerOrStream(streamLength))
					for i := range 40 {
						b.call("POST", target, fmt.Sprint(i))
					}
					assert.Equal(t, b.upstreams["u"].runCount(), 1)
				})
			})
		}
	}
}

// TestNextRunWithAStatusThatIsNotFinal has the run after a broken one, or the replacement of a silent one, answer with a
// status that is not final. It counts as a run whatever its header says, so that no third one is sent, and the caller
// sees the first run's events only.
func TestNextRunWithAStatusThatIsNotFinal(t *testing.T) {
	for text := range ferrynettest.InvalidStatuses {
		for name, first := range map[string]handler{
			"after a broken run":  func(c net.Conn, r *http.Request) bool { return streamEventsUpTo(c, r, 3, 9, time.Millisecond) },
			"beside a silent run": pausedStream(9, 3, 30*time.Second),
		} {
			t.Run(text+" "+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newHarness(t, "u", "v", "w")
					var runs atomic.Int32
					firstThen(b, first, func(c net.Conn, r *http.Request) bool {
						runs.Add(1)
						return answerStatus(text, "Not-Run: 1\r\n")(c, r)
					})
					a := b.call("POST", "/events/x", "1")
					assert.Assert(t, a.err != nil, "stream ended as complete after %q", a.body)
					assert.Equal(t, a.body, completeStream("1", 3))
					assert.Equal(t, runs.Load(), int32(1))
				})
			})
		}
	}
}
