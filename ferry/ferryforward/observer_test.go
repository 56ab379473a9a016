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

	"cactusferry.dev/ferry/ferrynettest"
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
		b.forwarder.cfg.Observer.Observe(b.table.View().Get("mid-a"), b.table.View().Get("mid-a"), AnswerInfo{Leaving: true})
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

// callFor calls every 100 ms for the given time and fails unless each call is answered with the status.
func (b *harness) callFor(d time.Duration, target string, status int) {
	b.t.Helper()
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		b.holder.Prove(1, time.Now())
		a := b.call("POST", target, fmt.Sprint("call", time.Now().UnixNano()))
		assert.Equal(b.t, a.status, status, "%s", a.body)
	}
}

// TestUpstreamGetsNothingUntilItsRetryAfter has an upstream refuse one request and state a time, through an update
// of its registration.
func TestUpstreamGetsNothingUntilItsRetryAfter(t *testing.T) {
	const after = "Retry-After: 4.5"
	for _, tt := range []struct {
		name, target string
		do           handler
		status       int
	}{
		{"call", "/safe/x", answerHead(503, "Not-Run: 1", after), 200},
		{"call that may have run", "/safe/x", answerHead(503, "Signed: yes", after), 200},
		{"call that must not be repeated", "/once/x", answerHead(503, "Not-Run: 1", after), 200},
		{"leaving besides", "/safe/x", answerHead(503, "Not-Run: 1", "Leaving: 1", after), 200},
		{"stream", "/events/x", answerHead(503, "Not-Run: 1", after), 200},
		{"stream that must not be repeated", "/live/x", answerHead(503, "Not-Run: 1", after), 200},
		{"generation", "/gen/x", answerHead(503, "Not-Run: 1", after), 200},
		{"generation that may have run", "/gen/x", answerHead(503, "Signed: yes", after), 200},
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
				o.setHandler(streamSlowly("Signed: yes"))
				for n := 0; s.runCount() == 0; n++ {
					a := b.call("POST", tt.target, fmt.Sprint("before", n))
					assert.Equal(t, a.status, tt.status, "the request could be served elsewhere")
				}
				b.callFor(2*time.Second, tt.target, tt.status)
				b.relist(func(string, *time.Time) {})
				b.callFor(1500*time.Millisecond, tt.target, tt.status)
				assert.Equal(t, s.runCount(), 1, "requests in the time that the upstream asked for")
				if strings.HasPrefix(tt.name, "leaving") {
					return
				}
				time.Sleep(2 * time.Second)
				o.setHandler(answerHead(503, "Not-Run: 1"))
				b.holder.Prove(1, time.Now())
				b.call("POST", tt.target, "later")
				assert.Equal(t, s.runCount(), 2, "the upstream gets nothing after its time")
			})
		})
	}
}

// TestRestartedUpstreamGetsNothingUntilItsRetryAfter has an upstream refuse a request after its restart, before the platform
// reports that. It guards against refusals that are forgotten with the registration of the process that made them.
func TestRestartedUpstreamGetsNothingUntilItsRetryAfter(t *testing.T) {
	for _, target := range []string{"/safe/x", "/events/x", "/gen/x"} {
		t.Run(target, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newHarness(t, "u", "v")
				name, other := "u", "v"
				if target == "/gen/x" {
					name, other = "first-a", "first-b"
				}
				s, o := b.upstreams[name], b.upstreams[other]
				o.setHandler(streamSlowly("Signed: yes"))
				s.l.Close()
				b.callFor(time.Second, target, 200)
				synctest.Wait() // the goroutine that accepted connections has ended
				s.l = ferrynettest.ListenAt(s.address)
				s.setHandler(countRuns(s, answerHead(503, "Not-Run: 1", "Retry-After: 4.5")))
				go s.serve()
				b.forwarder.cfg.Services.Chooser("llm").MarkUp(name)
				for n := 0; s.runCount() == 0; n++ {
					b.holder.Prove(1, time.Now())
					b.call("POST", target, fmt.Sprint("restarted", n))
				}
				b.relist(func(up string, started *time.Time) {
					if up == name {
						*started = time.Now()
					}
				})
				b.callFor(4*time.Second, target, 200)
				assert.Equal(t, s.runCount(), 1, "requests in the time that the upstream asked for")
			})
		})
	}
}

// TestEngineOfAPathGetsNothingUntilItsRetryAfter has the first engine pass on the refusal of a later one.
func TestEngineOfAPathGetsNothingUntilItsRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t)
		var paths []string
		setFirstEngines(b, func(*testUpstream) handler {
			return func(c net.Conn, r *http.Request) bool {
				path := r.Header.Get("Path")
				paths = append(paths, path)
				if strings.Contains(path, "mid-a") {
					return answerHead(503, "Not-Run: 1", "Retry-After: 4", "Failed-Engine: "+b.upstreams["mid-a"].address)(c, r)
				}
				return streamEvents(2, time.Millisecond)(c, r)
			}
		})
		for i := 0; i < 100 && !strings.Contains(strings.Join(paths, " "), "mid-a"); i++ {
			b.call("POST", "/gen/x", "1")
		}
		assert.Assert(t, b.table.View().Get("mid-a").Deferred(time.Now()))
		paths = nil
		b.callFor(3500*time.Millisecond, "/gen/x", 200)
		assert.Assert(t, len(paths) > 20)
		for _, p := range paths {
			assert.Assert(t, !strings.Contains(p, "mid-a"), p)
		}
		for name := range engineLayers {
			assert.Equal(t, b.table.View().Get(name).Deferred(time.Now()), name == "mid-a", name)
		}
	})
}

// TestCallersAreRefusedUntilTheEarliestRetryAfter has all upstreams of a service ask for different times.
func TestCallersAreRefusedUntilTheEarliestRetryAfter(t *testing.T) {
	for _, tt := range []struct {
		target, first, second string
	}{{"/safe/x", "u", "v"}, {"/once/x", "u", "v"}, {"/live/x", "u", "v"}, {"/gen/x", "first-a", "first-b"}} {
		t.Run(tt.target, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newHarness(t, "u", "v")
				for name, after := range map[string]string{tt.first: "Retry-After: 4", tt.second: "Retry-After: 9"} {
					s := b.upstreams[name]
					s.setHandler(countRuns(s, answerHead(503, "Not-Run: 1", after)))
				}
				began := time.Now()
				waits := map[string]bool{}
				for i := range 35 {
					a := b.call("POST", tt.target, fmt.Sprint("r", i))
					assert.Equal(t, a.status, 503)
					assert.Equal(t, a.header.Get("Outcome"), "NotRun")
					assert.Assert(t, a.took < 50*time.Millisecond, "refused only after %s", a.took)
					wait, left := decodeRetryAfter(a.header), 4*time.Second-time.Since(began)
					assert.Assert(t, wait >= left && wait <= 3*left/2+2*time.Millisecond, "%s with %s left", wait, left)
					waits[a.header.Get("Retry-After")] = true
					time.Sleep(100 * time.Millisecond)
				}
				assert.Assert(t, len(waits) > 20, "callers are not spread: %d different times", len(waits))
				assert.Equal(t, b.upstreams[tt.first].runCount(), 1)
				assert.Equal(t, b.upstreams[tt.second].runCount(), 1)
				b.relist(func(name string, started *time.Time) {
					if name == tt.second {
						*started = time.Now()
					}
				})
				b.upstreams[tt.second].setHandler(streamSlowly("Signed: yes"))
				assert.Equal(t, b.call("POST", tt.target, "restarted").status, 200, "a restarted upstream has stated nothing")
			})
		})
	}
}

// TestRunsGoOnAtEnginesThatWantNoRequests has engines of a running stream ask for time and another one fail.
func TestRunsGoOnAtEnginesThatWantNoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t)
		b.rerouter.result = func(*ferrypath.Path) error { return nil }
		paths := make(chan string, 1)
		setFirstEngines(b, func(*testUpstream) handler {
			return func(c net.Conn, r *http.Request) bool {
				paths <- r.Header.Get("Path")
				return streamEvents(40, 100*time.Millisecond)(c, r)
			}
		})
		wait := b.streams(1)
		time.Sleep(time.Second)
		engines := strings.Fields(<-paths)
		for _, name := range []string{engines[0], engines[1]} {
			u := b.table.View().Get(name)
			b.forwarder.cfg.Observer.Observe(u, u, AnswerInfo{NotRun: true, RetryAfter: 20 * time.Second})
		}
		b.setLeaving(engines[2])
		for _, a := range wait() {
			assert.NilError(t, a.err)
			assert.Equal(t, a.body, completeStream("s0", 40))
		}
		assert.Equal(t, len(b.rerouter.paths), 1)
		assert.Assert(t, strings.HasPrefix(b.rerouter.paths[0], engines[0]+" "+engines[1]+" "), b.rerouter.paths[0])
	})
}

func TestLongestDeferral(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, "u")
		u := b.table.View().Get("u")
		b.forwarder.cfg.Observer.Observe(u, u, AnswerInfo{InvalidRetryAfter: "soon"})
		assert.Assert(t, u.RetryAt().IsZero())
		b.forwarder.cfg.Observer.Observe(u, u, AnswerInfo{RetryAfter: time.Hour})
		assert.Equal(t, u.RetryAt(), time.Now().Add(maxDeferral))
	})
}
