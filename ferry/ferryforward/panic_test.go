package ferryforward

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypath"
)

// panickingDialect panics on answers with a Panic header.
type panickingDialect struct{ testDialect }

func (d panickingDialect) DecodeAnswer(status int, h http.Header) AnswerInfo {
	if h.Get("Panic") != "" {
		panic("unexpected answer")
	}
	return d.testDialect.DecodeAnswer(status, h)
}

// TestPanicEndsOneRequest has the handling of an answer panic. Its caller is told that the request may have
// run, and other requests are served, also those that run meanwhile.
func TestPanicEndsOneRequest(t *testing.T) {
	for _, target := range []string{"/once/x", "/safe/x", "/live/x", "/gen/x"} {
		t.Run(target, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newHarness(t, "u")
				b.forwarder.cfg.Dialect = panickingDialect{}
				for _, s := range b.upstreams {
					s.setHandler(func(c net.Conn, r *http.Request) bool {
						id := r.Header.Get("Request-Id")
						if id == "bad" {
							writef(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSigned: yes\r\nPanic: 1\r\nContent-Length: 0\r\n\r\n", id)
							return true
						}
						return streamEvents(5, 100*time.Millisecond)(c, r)
					})
				}
				other := make(chan callerAnswer)
				go func() { other <- b.call("POST", target, "good") }()
				time.Sleep(50 * time.Millisecond)
				a := b.call("POST", target, "bad")
				assert.NilError(t, a.err)
				assert.Equal(t, a.status, http.StatusBadGateway)
				assert.Equal(t, a.header.Get("Outcome"), "Unknown")
				good := <-other
				assert.NilError(t, good.err)
				assert.Equal(t, good.body, completeStream("good", 5))
				assert.Equal(t, b.call("POST", target, "next").body, completeStream("next", 5))
			})
		})
	}
}

// TestPanicReleasesItsEngines checks that the engines of a request that panicked do not count it any more.
func TestPanicReleasesItsEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t)
		b.forwarder.cfg.Dialect = panickingDialect{}
		setFirstEngines(b, func(*testUpstream) handler {
			return func(c net.Conn, _ *http.Request) bool {
				writef(c, "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nSigned: yes\r\nPanic: 1\r\nContent-Length: 0\r\n\r\n")
				return true
			}
		})
		first := func() ferryid.UpstreamName {
			run, err := b.forwarder.cfg.Services.Chooser("llm").Pick(ferrypath.Work{Prompt: 1, Answer: 1})
			assert.NilError(t, err)
			defer run.Cancelled()
			return ferryid.UpstreamName(run.Path().First().Name)
		}
		before := first()
		assert.Equal(t, b.call("POST", "/gen/x", "1").status, http.StatusBadGateway)
		assert.Equal(t, first(), before, "the request still counts on its engines")
	})
}

// TestPanicOfWatchdogEndsOneRun has the move of a silent run panic.
func TestPanicOfWatchdogEndsOneRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t)
		b.rerouter.result = func(*ferrypath.Path) error { panic("unexpected path") }
		firstThen(b, func(c net.Conn, r *http.Request) bool {
			for name, held := range engineLayers {
				if held.From == 2 {
					b.upstreams[name].l.Close()
					break
				}
			}
			return pausedStream(9, 3, 30*time.Second)(c, r)
		}, streamEvents(9, time.Millisecond))
		a := b.call("POST", "/gen/x", "1")
		assert.Assert(t, a.err != nil || a.body == completeStream("1", 9), "%q", a.body)
	})
}

// rejectingDialect panics on requests with a Panic header.
type rejectingDialect struct{ testDialect }

func (d rejectingDialect) DecodeRequest(h http.Header) (RequestInfo, error) {
	if h.Get("Panic") != "" {
		panic("unexpected request")
	}
	return d.testDialect.DecodeRequest(h)
}

// TestPanicDuringAdmissionIsAnswered has the admission of a request panic.
func TestPanicDuringAdmissionIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, "u")
		b.forwarder.cfg.Dialect = rejectingDialect{}
		a := b.call("POST", "/once/x", "bad", "Key: good", "Panic: 1")
		assert.NilError(t, a.err)
		assert.Equal(t, a.status, http.StatusInternalServerError)
		assert.Equal(t, a.header.Get("Outcome"), "NotRun")
		assert.Equal(t, b.upstreams["u"].runCount(), 0)
		assert.Equal(t, b.call("POST", "/once/x", "next").status, http.StatusOK)
	})
}
