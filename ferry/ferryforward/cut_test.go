package ferryforward

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// cutAnswers are answers to calls and streams that their upstream cuts short.
var cutAnswers = map[string]string{
	"/safe/x":   signedHead + "Content-Length: 11\r\n\r\nanswer to 1",
	"/once/x":   signedHead + "Transfer-Encoding: chunked\r\n\r\n7\r\nanswer \r\n4\r\nto 1\r\n0\r\n\r\n",
	"/events/x": chunkedHead + chunk(eventText("1", 1)) + "0\r\n\r\n",
	"/gen/x":    signedHead + "Content-Length: 17\r\n\r\n" + eventText("1", 1),
	"/live/x":   chunkedHead + chunk(eventText("1", 1)) + "0\r\n\r\n",
}

// TestAnswerCutAnywhere cuts the first answer to a call or stream after each of its bytes. Where the route permits it,
// another upstream answers; else the caller learns that the request failed and may have run.
func TestAnswerCutAnywhere(t *testing.T) {
	for target, text := range cutAnswers {
		t.Run(target, func(t *testing.T) {
			for i := range len(text) {
				synctest.Test(t, func(t *testing.T) {
					b := newHarness(t, "u", "v")
					whole, ok := "answer to 1", handler(answerOK)
					if !strings.Contains(text, whole) && target != "/once/x" {
						whole, ok = eventText("1", 1), streamEvents(1, time.Millisecond)
					}
					firstThen(b, writes(text[:i]), ok)
					a := b.call("POST", target, "1")
					runs := 0
					for _, s := range b.upstreams {
						runs += s.runCount()
					}
					if target == "/once/x" || target == "/live/x" {
						assert.Equal(t, runs, 1, "cut after %q", text[:i])
						assert.Assert(t, a.err != nil || a.status == http.StatusBadGateway, "cut after %q: %d %q", text[:i], a.status, a.body)
						return
					}
					assert.NilError(t, a.err, "cut after %q", text[:i])
					assert.Equal(t, a.status, http.StatusOK)
					assert.Equal(t, a.body, whole, "cut after %q", text[:i])
				})
			}
		})
	}
}

// TestHeadOfResumedStreamCutAnywhere cuts the head of every run that is to go on with a stream.
func TestHeadOfResumedStreamCutAnywhere(t *testing.T) {
	for _, head := range []string{chunkedHead, unframedHead} {
		for i := range len(head) {
			t.Run(fmt.Sprintf("%q", head[:i]), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newHarness(t, "u", "v")
					firstThen(b, func(c net.Conn, r *http.Request) bool { return streamEventsUpTo(c, r, 3, 9, time.Millisecond) }, writes(head[:i]))
					a := b.call("POST", "/events/x", "1")
					assert.Assert(t, a.err != nil, "stream ended as complete")
					assert.Equal(t, a.body, completeStream("1", 3))
				})
			})
		}
	}
}
