package ferryforward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestUnframedStreamCutAnywhere ends the first run of a stream, an answer without a length, after every byte of its
// events. A run that ends inside an event is followed by another one, or leaves the caller's answer open. Between two
// events, it is not known whether more were to come.
func TestUnframedStreamCutAnywhere(t *testing.T) {
	events := completeStream("1", 4)
	for _, target := range []string{"/events/x", "/gen/x", "/live/x"} {
		t.Run(target, func(t *testing.T) {
			for i := range len(events) + 1 {
				synctest.Test(t, func(t *testing.T) {
					b := newHarness(t, "u", "v")
					firstThen(b, writes(unframedHead, events[:i]), streamEvents(4, time.Millisecond))
					a := b.call("POST", target, "1")
					resumable := target != "/live/x"
					switch between := strings.HasSuffix(events[:i], "\n\n"); {
					case between:
						assert.NilError(t, a.err)
						assert.Equal(t, a.body, events[:i])
					case resumable:
						assert.NilError(t, a.err, "cut after %q", events[:i])
						assert.Equal(t, a.body, events)
					default:
						assert.Assert(t, a.err != nil || a.status == http.StatusBadGateway, "cut after %q: %q", events[:i], a.body)
					}
				})
			}
		})
	}
}

// TestUnframedAnswerIsForwardedWhole has upstreams answer without a length.
func TestUnframedAnswerIsForwardedWhole(t *testing.T) {
	for _, body := range []string{"", "short", strings.Repeat("x", maxBufferedBytes), strings.Repeat("x", 3*maxBufferedBytes+1)} {
		for _, target := range []string{"/safe/x", "/once/x"} {
			t.Run(fmt.Sprintf("%s, %d bytes", target, len(body)), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newHarness(t, "u")
					b.upstreams["u"].setHandler(writes(unframedHead, body))
					for range 2 {
						a := b.call("POST", target, "1")
						assert.NilError(t, a.err)
						assert.Equal(t, a.status, http.StatusOK)
						assert.Assert(t, a.body == body)
					}
					assert.Equal(t, b.client.Dials(), int64(2))
				})
			})
		}
	}
}

// TestUnframedStreamReachesTheCallerInTime has a stream without a length pause between its events.
func TestUnframedStreamReachesTheCallerInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, "u")
		b.upstreams["u"].setHandler(func(c net.Conn, _ *http.Request) bool {
			writef(c, "%s", unframedHead)
			for i := 1; i <= 3; i++ {
				writef(c, "%s", eventText("1", i))
				time.Sleep(300 * time.Millisecond)
			}
			return false
		})
		c := b.dial()
		defer c.Close()
		writef(c, "POST /live/x HTTP/1.1\r\nHost: h\r\nRequest-Id: 1\r\nKey: good\r\nContent-Length: 0\r\n\r\n")
		began := time.Now()
		a, err := http.ReadResponse(bufio.NewReader(c), nil)
		assert.NilError(t, err)
		for i := 1; i <= 3; i++ {
			event := make([]byte, len(eventText("1", i)))
			_, err := io.ReadFull(a.Body, event)
			assert.NilError(t, err)
			assert.Equal(t, string(event), eventText("1", i))
			late := time.Since(began) - time.Duration(i-1)*300*time.Millisecond
			assert.Assert(t, late < time.Millisecond, "event %d is %s late", i, late)
		}
		_, err = a.Body.Read(make([]byte, 1))
		assert.ErrorIs(t, err, io.EOF)
	})
}
