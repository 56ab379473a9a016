package ferryforward

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// trickle writes the beginning of an answer and then one piece of the rest at a time, without end.
func trickle(beginning string, piece func(i int) string) handler {
	return func(c net.Conn, _ *http.Request) bool {
		writef(c, "%s", beginning)
		for i := 0; ; i++ {
			time.Sleep(200 * time.Millisecond)
			if _, err := fmt.Fprint(c, piece(i)); err != nil {
				return false
			}
		}
	}
}

// trickles are runs that send bytes now and then, but no event after the first.
var trickles = map[string]handler{
	"bytes of an event in chunks": trickle(chunkedHead+chunk(eventText("1", 1)+"id: 2\ndata: "), func(int) string { return chunk("x") }),
	"bytes of an event":           trickle(unframedHead+eventText("1", 1)+"id: 2\ndata: ", func(int) string { return "x" }),
	"lines of an event":           trickle(unframedHead+eventText("1", 1)+"id: 2\n", func(int) string { return "data: x\n" }),
	"comments":                    trickle(unframedHead+eventText("1", 1), func(int) string { return ": still here\n\n" }),
	"old events":                  trickle(unframedHead+eventText("1", 1), func(int) string { return eventText("1", 1) }),
	"header lines":                trickle("HTTP/1.1 200 OK\r\n", func(i int) string { return fmt.Sprintf("A%d: b\r\n", i) }),
}

// TestTricklingRunIsReplaced has the first run of a stream send a byte now and then.
func TestTricklingRunIsReplaced(t *testing.T) {
	for name, do := range trickles {
		for _, target := range []string{"/events/x", "/gen/x"} {
			t.Run(target+" "+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newHarness(t, "u", "v")
					firstThen(b, do, streamEvents(9, time.Millisecond))
					a := b.call("POST", target, "1")
					assert.NilError(t, a.err)
					assert.Assert(t, a.took < 2*time.Second, "%s", a.took)
				})
			})
		}
	}
}

// TestTricklingRunEndsInTime has every run of a stream send a byte now and then. The stream must end by the timeout of
// its route, not as complete, and the upstreams' connections with it.
func TestTricklingRunEndsInTime(t *testing.T) {
	for name, do := range trickles {
		for _, target := range []string{"/events/x", "/live/x"} {
			t.Run(target+" "+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newHarness(t, "u", "v")
					var ended atomic.Int64
					firstThen(b, do, do)
					for _, s := range b.upstreams {
						handle := s.handle
						s.setHandler(func(c net.Conn, r *http.Request) bool {
							defer ended.Add(1)
							return handle(c, r)
						})
					}
					a := b.call("POST", target, "1")
					assert.Assert(t, a.err != nil || a.status == http.StatusGatewayTimeout || a.status == http.StatusBadGateway, "%d %q", a.status, a.body)
					assert.Assert(t, a.took < 20100*time.Millisecond, "%s", a.took)
					time.Sleep(time.Second)
					assert.Equal(t, int(ended.Load()), b.upstreams["u"].runCount()+b.upstreams["v"].runCount())
				})
			})
		}
	}
}

// TestSlowButSoundStreams has streams whose events come slowly, with comments or in pieces, and without any other
// upstream that could take over.
func TestSlowButSoundStreams(t *testing.T) {
	pieces := func(pause time.Duration, parts ...string) handler {
		return func(c net.Conn, _ *http.Request) bool {
			writef(c, "%s", unframedHead)
			for _, p := range parts {
				time.Sleep(pause)
				writef(c, "%s", p)
			}
			return false
		}
	}
	for name, do := range map[string]handler{
		"a second of silence before each event": pieces(1100*time.Millisecond, eventText("1", 1), eventText("1", 2), eventText("1", 3)),
		"comments between events":               pieces(600*time.Millisecond, eventText("1", 1), ": wait\n\n", eventText("1", 2), ": wait\n\n", ": wait\n\n", eventText("1", 3)),
		"events in pieces":                      pieces(600*time.Millisecond, "id: 1\nda", "ta: 1 1\n\nid: 2\n", "data: 1 2\n", "\n", eventText("1", 3)),
	} {
		for _, target := range []string{"/events/x", "/live/x", "/gen/x"} {
			t.Run(target+" "+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newHarness(t, "u", "v")
					firstThen(b, do, answerNotRun)
					a := b.call("POST", target, "1")
					assert.NilError(t, a.err)
					assert.Equal(t, withoutComments(a.body), completeStream("1", 3))
				})
			})
		}
	}
}

func withoutComments(body string) string { return strings.ReplaceAll(body, ": wait\n\n", "") }
