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

	"cactusferry.dev/ferry/ferrypath"
	"cactusferry.dev/ferry/ferryplatform"
)

// answerHead answers with the status, further header lines and an empty body.
func answerHead(status int, header ...string) handler {
	return func(c net.Conn, r *http.Request) bool {
		writef(c, "HTTP/1.1 %d S\r\nRequest-Id: %s\r\n%s\r\nContent-Length: 0\r\n\r\n", status, r.Header.Get("Request-Id"), strings.Join(header, "\r\n"))
		return true
	}
}

// streamSlowly answers with further header lines and three events that are 100 ms apart.
func streamSlowly(header ...string) handler {
	return func(c net.Conn, r *http.Request) bool {
		id := r.Header.Get("Request-Id")
		writef(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSigned: yes\r\nTransfer-Encoding: chunked\r\n%s\r\n\r\n", id, strings.Join(header, "\r\n"))
		for i := 1; i <= 3; i++ {
			time.Sleep(100 * time.Millisecond)
			writeChunk(c, eventText(id, i))
		}
		writef(c, "0\r\n\r\n")
		return true
	}
}

// relist reports all upstreams as live in a later version.
func (b *harness) relist(change func(name string, started *time.Time)) {
	for i := range b.listed {
		u := &b.listed[i]
		u.Version += 10
		u.Slots++
		change(u.Name, &u.Started)
	}
	b.table.Replace(b.listed, b.listed[0].Version)
}

// TestUpstreamThatStatesItIsLeavingGetsNothingNew has an upstream state in one answer that it is leaving, while the
// platform goes on to report it as live.
func TestUpstreamThatStatesItIsLeavingGetsNothingNew(t *testing.T) {
	const leaving = "Leaving: 1"
	for _, tt := range []struct {
		name, target string
		do           handler
	}{
		{"success", "/safe/x", answerHead(200, "Signed: yes", leaving)},
		{"refusal", "/safe/x", answerHead(503, "Not-Run: 1", leaving)},
		{"error", "/safe/x", answerHead(500, "Signed: yes", leaving)},
		{"call that must not be repeated", "/once/x", answerHead(503, "Not-Run: 1", leaving)},
		{"unsigned success", "/safe/x", answerHead(200, leaving)},
		{"stream", "/events/x", streamSlowly("Signed: yes", leaving)},
		{"refused stream", "/live/x", answerHead(503, "Not-Run: 1", leaving)},
		{"generation", "/gen/x", streamSlowly("Signed: yes", leaving)},
		{"refused generation", "/gen/x", answerHead(503, "Not-Run: 1", leaving)},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newHarness(t, "u", "v")
				name, other := "u", "v"
				if tt.target == "/gen/x" {
					name, other = "first-a", "first-b"
				}
				s, o := b.upstreams[name], b.upstreams[other]
				s.setHandler(countRuns(s, tt.do))
				o.setHandler(countRuns(o, streamSlowly("Signed: yes")))
				n := 0
				for ; s.runCount() == 0; n++ {
					b.call("POST", tt.target, fmt.Sprint("before", n))
				}
				for i := range 20 {
					b.holder.Prove(1, time.Now())
					a := b.call("POST", tt.target, fmt.Sprint("after", i))
					assert.Equal(t, a.status, http.StatusOK, "request %d: %s", i, a.body)
					assert.Equal(t, o.runCountOf(fmt.Sprint("after", i)), 1)
					if i == 10 {
						b.relist(func(string, *time.Time) {})
					}
				}
				assert.Equal(t, s.runCount(), 1, "an upstream that leaves got further requests")
				o.setHandler(answerHead(503, "Not-Run: 1"))
				b.relist(func(up string, started *time.Time) {
					if up == name {
						*started = time.Now()
					}
				})
				b.call("POST", tt.target, "restarted")
				time.Sleep(10 * time.Second)
				b.holder.Prove(1, time.Now())
				b.call("POST", tt.target, "restarted-again")
				assert.Assert(t, s.runCount() > 1, "the restarted upstream gets nothing")
			})
		})
	}
}

// TestRunningStreamsAreMovedOffEnginesThatStateTheyAreLeaving has the answer of an engine to another request tell
// that it is leaving.
func TestRunningStreamsAreMovedOffEnginesThatStateTheyAreLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t)
		b.rerouter.result = func(*ferrypath.Path) error { return nil }
		setFirstEngines(b, func(*testUpstream) handler { return streamEvents(60, 100*time.Millisecond) })
		wait := b.streams(4)
		time.Sleep(time.Second)
		left := time.Now()
		b.forwarder.cfg.Observer.Observe(b.table.View().Get("mid-a"), AnswerInfo{Leaving: true})
		assert.Equal(t, b.table.View().Get("mid-a").State, ferryplatform.StateLeaving)
		for _, a := range wait() {
			assert.NilError(t, a.err)
		}
		assert.Assert(t, len(b.rerouter.times) > 0, "no stream moved")
		for i, at := range b.rerouter.times {
			assert.Assert(t, at.Sub(left) <= defaultDrainTime, "moved after %s", at.Sub(left))
			assert.Assert(t, !strings.Contains(b.rerouter.paths[i], "mid-a"), b.rerouter.paths[i])
		}
	})
}

// TestAnswerOfAnotherInstanceIsNotTheUpstreams has another instance at the address state that it is leaving.
func TestAnswerOfAnotherInstanceIsNotTheUpstreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, "u")
		b.upstreams["u"].setHandler(answerHead(421, "Elsewhere: 1", "Leaving: 1"))
		b.call("POST", "/safe/x", "1")
		assert.Assert(t, b.table.View().Get("u").Ready())
	})
}
