package ferryforward

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// refuseAndCopy refuses every third request and serves the others. It writes the refusal once more on its connection,
// with or without its id: at once, while the connection is idle, or before, together with or after the answer to the
// next request.
func refuseAndCopy(s *testUpstream, when string, withID bool, serve handler) handler {
	var mu sync.Mutex
	requests := 0
	copies := map[net.Conn]string{}
	return func(c net.Conn, r *http.Request) bool {
		mu.Lock()
		requests++
		refuses := requests%3 == 1
		text := copies[c]
		if refuses {
			copies[c] = "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n"
			if withID {
				copies[c] += "Request-Id: " + r.Header.Get("Request-Id") + "\r\n"
			}
			copies[c] += "\r\n"
			text = copies[c]
		}
		mu.Unlock()
		if refuses {
			answerNotRun(c, r)
			switch when {
			case "at once":
				writef(c, "%s", text)
			case "idle":
				time.AfterFunc(50*time.Millisecond, func() { writef(c, "%s", text) })
			}
			return true
		}
		s.recordRun(r)
		switch when {
		case "before":
			writef(c, "%s", text)
			time.Sleep(time.Millisecond)
		case "together":
			writef(c, "%s", text)
		}
		keep := serve(c, r)
		if when == "after" {
			writef(c, "%s", text)
		}
		return keep
	}
}

// TestCopyOfRefusalSaysNothingOfTheNextRequest has upstreams write an earlier refusal once more. A request that runs
// must not be said not to have run, and one that may not be repeated must not run twice.
func TestCopyOfRefusalSaysNothingOfTheNextRequest(t *testing.T) {
	for _, when := range []string{"at once", "idle", "before", "together", "after"} {
		for _, withID := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, with id %t", when, withID), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newHarness(t, "u", "v")
					for _, name := range []string{"u", "v"} {
						s := b.upstreams[name]
						s.setHandler(refuseAndCopy(s, when, withID, answerOrStream(streamLength)))
					}
					refused := 0
					for i := range 24 {
						target := []string{"/safe/x", "/once/x", "/events/x", "/live/x"}[i%4]
						id := fmt.Sprintf("r%d", i)
						a := b.call("POST", target, id)
						runs := b.upstreams["u"].runCountOf(id) + b.upstreams["v"].runCountOf(id)
						assert.Equal(t, checkAnswer(target, id, a, runs), "", id)
						if a.status == http.StatusServiceUnavailable {
							refused++
						}
						time.Sleep(500 * time.Millisecond)
					}
					assert.Assert(t, refused < 24, "no request was served")
				})
			})
		}
	}
}

// TestCopyOfRefusalOfTheSameRequest has an upstream refuse the second run of a stream and, once the stream is sent
// there again, write that refusal once more before it goes on. The copy carries the id of the present request.
func TestCopyOfRefusalOfTheSameRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, "u", "v")
		for _, name := range []string{"u", "v"} {
			s := b.upstreams[name]
			refusals := map[net.Conn]bool{}
			refused := false
			s.setHandler(func(c net.Conn, r *http.Request) bool {
				switch {
				case r.Header.Get("Last-Event-Id") == "":
					s.recordRun(r)
					return streamEventsUpTo(c, r, 3, 9, time.Millisecond)
				case !refused:
					refused, refusals[c] = true, true
					return answerNotRun(c, r)
				case refusals[c]:
					answerNotRun(c, r)
				}
				s.recordRun(r)
				return streamEventsUpTo(c, r, 9, 9, time.Millisecond)
			})
		}
		a := b.call("POST", "/events/x", "1")
		assert.NilError(t, a.err)
		assert.Equal(t, a.body, completeStream("1", 9))
		assert.Equal(t, b.upstreams["u"].runCount()+b.upstreams["v"].runCount(), 2)
	})
}
