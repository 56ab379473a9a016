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

	"cactusferry.dev/ferry/ferryconfig"
	"cactusferry.dev/ferry/ferrypath"
)

// pausedStream streams n events and makes a pause before the event after the given one.
func pausedStream(n, after int, pause time.Duration) handler {
	return func(c net.Conn, r *http.Request) bool {
		id := r.Header.Get("Request-Id")
		writef(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSigned: yes\r\nTransfer-Encoding: chunked\r\n\r\n", id)
		for i := 1; i <= n; i++ {
			if i == after+1 {
				time.Sleep(pause)
			}
			writeChunk(c, eventText(id, i))
		}
		writef(c, "0\r\n\r\n")
		return true
	}
}

// firstThen handles the first request of all upstreams in one way and the others in another.
func firstThen(b *harness, first, others handler) {
	runs := make(chan struct{}, 1)
	runs <- struct{}{}
	for _, s := range b.upstreams {
		s.setHandler(countRuns(s, func(c net.Conn, r *http.Request) bool {
			select {
			case <-runs:
				return first(c, r)
			default:
				return others(c, r)
			}
		}))
	}
}

// TestSilentRunOutlivesRefusedReplacement has a sound run stay silent for longer than the idle timeout, for
// example because its engines compute its state again, while no other engine has capacity.
func TestSilentRunOutlivesRefusedReplacement(t *testing.T) {
	for _, target := range []string{"/gen/x", "/events/x"} {
		for _, after := range []int{0, 3} {
			t.Run(fmt.Sprintf("%s silent after event %d", target, after), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newHarness(t, "u", "v")
					firstThen(b, pausedStream(9, after, 1800*time.Millisecond), answerNotRun)
					a := b.call("POST", target, "1")
					assert.NilError(t, a.err)
					assert.Equal(t, a.status, http.StatusOK)
					assert.Equal(t, a.body, completeStream("1", 9))
				})
			})
		}
	}
}

// TestSilentRunIsReplacedInTime has a run stay silent for good. The caller must see the next event before it
// disconnects.
func TestSilentRunIsReplacedInTime(t *testing.T) {
	for _, target := range []string{"/gen/x", "/events/x"} {
		for _, after := range []int{0, 3} {
			t.Run(fmt.Sprintf("%s silent after event %d", target, after), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newHarness(t, "u", "v")
					firstThen(b, pausedStream(9, after, 30*time.Second), streamEvents(9, time.Millisecond))
					a := b.call("POST", target, "1")
					assert.NilError(t, a.err)
					assert.Equal(t, a.body, completeStream("1", 9))
					assert.Assert(t, a.took < 1500*time.Millisecond, "%s", a.took)
				})
			})
		}
	}
}

// TestRunThatContinuesWinsOverReplacement has a silent run continue while its replacement, which would answer
// much later, is being started.
func TestRunThatContinuesWinsOverReplacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, "u", "v")
		firstThen(b, pausedStream(9, 3, 1500*time.Millisecond), func(c net.Conn, r *http.Request) bool {
			time.Sleep(5 * time.Second)
			return streamEvents(9, time.Millisecond)(c, r)
		})
		a := b.call("POST", "/events/x", "1")
		assert.NilError(t, a.err)
		assert.Equal(t, a.body, completeStream("1", 9))
		assert.Assert(t, a.took < 1600*time.Millisecond, "%s", a.took)
	})
}

// TestRunThatCompletesEndsItsReplacement has a silent run complete its stream while upstreams answer its replacement.
// Under the race detector it checks that both never count the attempts of the request at the same time.
func TestRunThatCompletesEndsItsReplacement(t *testing.T) {
	for delay := 380 * time.Millisecond; delay <= 420*time.Millisecond; delay += 5 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			b := newHarness(t, "u", "v")
			firstThen(b, pausedStream(9, 8, 1500*time.Millisecond), func(c net.Conn, r *http.Request) bool {
				time.Sleep(delay)
				return answerNotRun(c, r)
			})
			a := b.call("POST", "/events/x", "1")
			assert.NilError(t, a.err)
			assert.Equal(t, a.body, completeStream("1", 9))
		})
	}
}

// TestStartedStreamThatCannotResumeIsNotReplaced pauses a stream that may run twice but cannot resume: once it
// has started, only its own run can complete it.
func TestStartedStreamThatCannotResumeIsNotReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, "u", "v")
		b.setRoute("events", func(r *ferryconfig.Route) { r.Repeat = ferryconfig.RepeatAlways })
		firstThen(b, pausedStream(9, 3, 1800*time.Millisecond), streamEvents(9, time.Millisecond))
		a := b.call("POST", "/events/x", "1")
		assert.NilError(t, a.err)
		assert.Equal(t, a.body, completeStream("1", 9))
		assert.Equal(t, b.upstreams["u"].runCount()+b.upstreams["v"].runCount(), 1)
	})
}

// TestPatienceFollowsTheRoute checks that a silent run is replaced later on a route whose callers wait longer.
func TestPatienceFollowsTheRoute(t *testing.T) {
	for _, tt := range []struct {
		name           string
		objective, gap time.Duration
		patience       time.Duration
	}{
		{"short objectives", 100 * time.Millisecond, 50 * time.Millisecond, 2 * time.Second},
		{"long first event", 2 * time.Second, 50 * time.Millisecond, 8 * time.Second},
		{"long gap", 100 * time.Millisecond, time.Second, 8 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newHarness(t, "u", "v")
				b.setRoute("events", func(r *ferryconfig.Route) { r.Objective, r.GapObjective = tt.objective, tt.gap })
				firstThen(b, pausedStream(9, 3, 19*time.Second), streamEvents(9, time.Millisecond))
				a := b.call("POST", "/events/x", "1")
				assert.NilError(t, a.err)
				assert.Equal(t, a.body, completeStream("1", 9))
				assert.Assert(t, a.took > tt.patience/2 && a.took < tt.patience, "replaced after %s", a.took)
			})
		})
	}
}

// TestSilentRunOutlivesAFailedProbe has a sound run stay silent while its first engine accepts no connections.
func TestSilentRunOutlivesAFailedProbe(t *testing.T) {
	for _, tt := range []struct {
		name   string
		repeat ferryconfig.Repeat
		after  int
	}{
		{"before the first event", ferryconfig.RepeatFromEvent, 0},
		{"resumable, after an event", ferryconfig.RepeatFromEvent, 3},
		{"repeatable, after an event", ferryconfig.RepeatAlways, 3},
		{"not repeatable, before the first event", ferryconfig.RepeatNever, 0},
		{"not repeatable, after an event", ferryconfig.RepeatNever, 3},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newHarness(t)
				b.setRoute("gen", func(r *ferryconfig.Route) { r.Repeat = tt.repeat })
				firstThen(b, func(c net.Conn, r *http.Request) bool {
					b.upstreams[r.Header.Get("Instance")].l.Close()
					return pausedStream(9, tt.after, 1200*time.Millisecond)(c, r)
				}, answerNotRun)
				a := b.call("POST", "/gen/x", "1")
				assert.NilError(t, a.err)
				assert.Equal(t, a.status, http.StatusOK)
				assert.Equal(t, a.body, completeStream("1", 9))
			})
		})
	}
}

// breaksAfterHead answers 200 with the head of a stream and ends the connection without an event.
func breaksAfterHead(pause time.Duration) handler {
	return func(c net.Conn, r *http.Request) bool {
		writef(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSigned: yes\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Request-Id"))
		time.Sleep(pause)
		return false
	}
}

// TestSilentRunOutlivesAReplacementWithoutEvents has a silent run continue after its replacement was answered but
// gave no event.
func TestSilentRunOutlivesAReplacementWithoutEvents(t *testing.T) {
	for _, target := range []string{"/gen/x", "/events/x"} {
		for _, after := range []int{0, 3} {
			for _, others := range []struct {
				name   string
				handle handler
			}{{"breaks off", breaksAfterHead(0)}, {"silent", breaksAfterHead(30 * time.Second)}} {
				t.Run(fmt.Sprintf("%s silent after event %d, replacement %s", target, after, others.name), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						b := newHarness(t, "u", "v")
						firstThen(b, pausedStream(9, after, 1800*time.Millisecond), others.handle)
						a := b.call("POST", target, "1")
						assert.NilError(t, a.err)
						assert.Equal(t, a.status, http.StatusOK)
						assert.Equal(t, a.body, completeStream("1", 9))
					})
				})
			}
		}
	}
}

// TestReplacementWithoutEventsTakesOverFromABrokenRun has the present run break off before the first event of its
// replacement, whose run may then be supervised like any other.
func TestReplacementWithoutEventsTakesOverFromABrokenRun(t *testing.T) {
	for _, target := range []string{"/gen/x", "/events/x"} {
		t.Run(target, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newHarness(t, "u", "v")
				firstThen(b, func(c net.Conn, r *http.Request) bool {
					streamEventsUpTo(c, r, 3, 9, time.Millisecond)
					time.Sleep(1300 * time.Millisecond)
					return false
				}, pausedStream(9, 3, 600*time.Millisecond))
				a := b.call("POST", target, "1")
				assert.NilError(t, a.err)
				assert.Equal(t, a.body, completeStream("1", 9))
			})
		})
	}
}

// TestReplacementIsReroutedBeforeItsFirstEvent has an engine of a replacement die after its head.
func TestReplacementIsReroutedBeforeItsFirstEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t)
		moved := make(chan struct{})
		b.rerouter.result = func(*ferrypath.Path) error {
			close(moved)
			return nil
		}
		firstThen(b, pausedStream(9, 3, 30*time.Second), func(c net.Conn, r *http.Request) bool {
			id := r.Header.Get("Request-Id")
			writef(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSigned: yes\r\nTransfer-Encoding: chunked\r\n\r\n", id)
			b.upstreams[strings.Fields(r.Header.Get("Path"))[1]].l.Close()
			<-moved
			for i := 4; i <= 9; i++ {
				writeChunk(c, eventText(id, i))
			}
			writef(c, "0\r\n\r\n")
			return true
		})
		a := b.call("POST", "/gen/x", "1")
		assert.NilError(t, a.err)
		assert.Equal(t, a.body, completeStream("1", 9))
		assert.Assert(t, a.took < 2*time.Second, "%s", a.took)
	})
}

// TestBrokenReplacementLeavesItsSilentRunAlone has replacements break off. Under the race detector it checks that they
// do not read what the present run counts.
func TestBrokenReplacementLeavesItsSilentRunAlone(t *testing.T) {
	unsigned := func(c net.Conn, r *http.Request) bool {
		writef(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Request-Id"))
		return false
	}
	for _, target := range []string{"/gen/x", "/events/x"} {
		for name, others := range map[string]handler{"closed": closeUnanswered, "unsigned": unsigned} {
			t.Run(target+" "+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newHarness(t, "u", "v")
					firstThen(b, pausedStream(9, 3, 1800*time.Millisecond), others)
					a := b.call("POST", target, "1")
					assert.NilError(t, a.err)
					assert.Equal(t, a.body, completeStream("1", 9))
				})
			})
		}
	}
}
