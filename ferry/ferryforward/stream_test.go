package ferryforward

import (
	"errors"
	"io"
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

func TestEventsAreCompleteAndOnTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, "u")
		b.upstreams["u"].setHandler(streamEvents(20, 50*time.Millisecond))
		a := b.call("POST", "/events/x", "1")
		assert.NilError(t, a.err)
		assert.Equal(t, a.body, completeStream("1", 20))
		assert.Assert(t, a.took < 1100*time.Millisecond)
	})
}

func TestBrokenStreamResumesAtAnotherUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, "u", "v")
		for _, name := range []string{"u", "v"} {
			s := b.upstreams[name]
			s.setHandler(countRuns(s, func(c net.Conn, r *http.Request) bool {
				if r.Header.Get("Last-Event-Id") == "" {
					return streamEventsUpTo(c, r, 7, 20, time.Millisecond)
				}
				return streamEventsUpTo(c, r, 20, 20, time.Millisecond)
			}))
		}
		a := b.call("POST", "/events/x", "1")
		assert.NilError(t, a.err)
		assert.Equal(t, a.body, completeStream("1", 20))
		assert.Equal(t, b.upstreams["u"].runCount()+b.upstreams["v"].runCount(), 2)
	})
}

func TestBrokenStreamIsNotTerminated(t *testing.T) {
	for _, tt := range []struct {
		name, target string
		runs         int
	}{
		{"resumable, breaks at every upstream", "/events/x", 2},
		{"not repeatable", "/live/x", 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newHarness(t, "u", "v", "w")
				for _, name := range []string{"u", "v", "w"} {
					s := b.upstreams[name]
					s.setHandler(countRuns(s, func(c net.Conn, r *http.Request) bool {
						from := len(r.Header.Get("Last-Event-Id"))
						return streamEventsUpTo(c, r, 7+from, 20, time.Millisecond)
					}))
				}
				a := b.call("POST", tt.target, "1")
				assert.Assert(t, a.err != nil)
				assert.Assert(t, strings.HasPrefix(completeStream("1", 20), a.body), "caller received an incomplete event: %q", a.body)
				runs := b.upstreams["u"].runCount() + b.upstreams["v"].runCount() + b.upstreams["w"].runCount()
				assert.Equal(t, runs, tt.runs)
			})
		})
	}
}

func TestStreamWithoutCapacityIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, "u", "v")
		b.upstreams["u"].setHandler(answerNotRun)
		b.upstreams["v"].setHandler(answerNotRun)
		a := b.call("POST", "/live/x", "1")
		assert.Equal(t, a.status, 503)
		assert.Equal(t, a.header.Get("Outcome"), "NotRun")
		assert.Assert(t, a.took < 50*time.Millisecond, "refused only after %s", a.took)
	})
}

// setFirstEngines sets the handler of each engine that is first on a path.
func setFirstEngines(b *harness, do func(s *testUpstream) handler) {
	for _, name := range []string{"first-a", "first-b"} {
		b.upstreams[name].setHandler(do(b.upstreams[name]))
	}
}

func TestRunIsReroutedAroundDeadEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t)
		on := make(chan struct{})
		b.rerouter.result = func(*ferrypath.Path) error {
			close(on)
			return nil
		}
		setFirstEngines(b, func(s *testUpstream) handler {
			return countRuns(s, func(c net.Conn, r *http.Request) bool {
				id := r.Header.Get("Request-Id")
				writef(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSigned: yes\r\nTransfer-Encoding: chunked\r\n\r\n", id)
				writeChunk(c, eventText(id, 1))
				mid := strings.Fields(r.Header.Get("Path"))[1]
				b.upstreams[mid].l.Close() // the middle engine dies
				<-on
				writeChunk(c, eventText(id, 2))
				writef(c, "0\r\n\r\n")
				return true
			})
		})
		a := b.call("POST", "/gen/x", "1")
		assert.NilError(t, a.err)
		assert.Equal(t, a.body, completeStream("1", 2))
		assert.Assert(t, a.took < 200*time.Millisecond, "caller saw a gap of %s", a.took)
		assert.Equal(t, b.upstreams["first-a"].runCount()+b.upstreams["first-b"].runCount(), 1, "run was restarted instead of rerouted")
		for _, path := range b.rerouter.paths {
			assert.Assert(t, strings.HasPrefix(path, "first-"), path)
		}
	})
}

func TestStreamResumesAfterFirstEngineDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t)
		setFirstEngines(b, func(s *testUpstream) handler {
			return countRuns(s, func(c net.Conn, r *http.Request) bool {
				if r.Header.Get("Last-Event-Id") != "" {
					return streamEventsUpTo(c, r, 9, 9, time.Millisecond)
				}
				writef(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSigned: yes\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Request-Id"))
				writeChunk(c, eventText(r.Header.Get("Request-Id"), 1))
				s.l.Close()
				time.Sleep(30 * time.Second)
				return false
			})
		})
		a := b.call("POST", "/gen/x", "1")
		assert.NilError(t, a.err)
		assert.Equal(t, a.body, completeStream("1", 9))
		assert.Assert(t, a.took < 250*time.Millisecond, "%s", a.took)
	})
}

func TestLongGapDoesNotEndLiveRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t)
		setFirstEngines(b, func(*testUpstream) handler { return streamEvents(4, 900*time.Millisecond) })
		a := b.call("POST", "/gen/x", "1")
		assert.NilError(t, a.err)
		assert.Equal(t, a.body, completeStream("1", 4))
		assert.Equal(t, len(b.rerouter.paths), 0)
	})
}

func TestNewStreamIsRefusedAtOnceWithoutEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t)
		for name, held := range engineLayers {
			if held.From == 2 {
				b.upstreams[name].l.Close()
				b.forwarder.cfg.Services.Chooser("llm").MarkDown(name)
			}
		}
		a := b.call("POST", "/gen/x", "1")
		assert.Equal(t, a.status, 503)
		assert.Equal(t, a.header.Get("Outcome"), "NotRun")
		assert.Assert(t, a.took < 50*time.Millisecond)
	})
}

func TestStartedStreamWaitsForCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t)
		began := time.Now()
		setFirstEngines(b, func(*testUpstream) handler {
			return func(c net.Conn, r *http.Request) bool {
				if r.Header.Get("Last-Event-Id") == "" {
					return streamEventsUpTo(c, r, 3, 9, time.Millisecond)
				}
				if time.Since(began) < 700*time.Millisecond {
					return answerNotRun(c, r)
				}
				return streamEventsUpTo(c, r, 9, 9, time.Millisecond)
			}
		})
		a := b.call("POST", "/gen/x", "1")
		assert.NilError(t, a.err)
		assert.Equal(t, a.body, completeStream("1", 9))
	})
}

func TestEventParsing(t *testing.T) {
	whole, rest := splitEvents([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"), 0)
	assert.Equal(t, string(whole), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
	assert.Equal(t, string(rest), "id: 3\nda")
	for known := range len("data: a\n") + 1 {
		whole, rest = splitEvents([]byte("data: a\n\nda"), known)
		assert.Equal(t, string(whole)+"|"+string(rest), "data: a\n\n|da", "%d bytes known", known)
	}
	whole, _ = splitEvents([]byte("id: 1\ndata: a\n\nid: 2\n\n"), 0)
	first, _ := nextEvent(whole)
	id, _, err := readEvent(first)
	assert.NilError(t, err)
	assert.Equal(t, string(id), "1")
	id, _, err = readEvent([]byte("data: id: 4\n\n"))
	assert.NilError(t, err)
	assert.Assert(t, id == nil)
	p := newPosition("2")
	advance := func(event string) bool {
		isNew, err := p.advance([]byte(event))
		assert.NilError(t, err)
		return isNew
	}
	assert.Assert(t, !advance("id: 2\ndata: a\n\n"), "event forwarded twice")
	assert.Assert(t, advance("id: 3\ndata: b\n\n"))
	assert.Assert(t, advance(": comment\n\n"))
	assert.Assert(t, advance("id: x\ndata: c\n\n"), "non-numeric id not taken as new")
	assert.Equal(t, p.id, "x")
}

// TestEventIDsThatGoBack guards against an event that reaches the caller twice because its id goes back within a run. An
// id with more digits than fit in an int64 has no place in the order and ends the run.
func TestEventIDsThatGoBack(t *testing.T) {
	p := newPosition("")
	for _, tt := range []struct {
		id    string
		isNew bool
	}{{"1", true}, {"2", true}, {"1", false}, {"2", false}, {"0", false}, {"-1", false}, {"3", true}, {"-9223372036854775808", false}, {"9223372036854775807", true}, {"4", false}} {
		isNew, err := p.advance([]byte("id: " + tt.id + "\ndata: a\n\n"))
		assert.NilError(t, err)
		assert.Equal(t, isNew, tt.isNew, tt.id)
	}
	for _, id := range []string{"9223372036854775808", "99999999999999999999", "-9223372036854775809"} {
		before := p
		_, err := p.advance([]byte("id: " + id + "\ndata: a\n\n"))
		var e *EventError
		assert.Assert(t, errors.As(err, &e), id)
		assert.Equal(t, p, before)
	}
}

// TestOnlyEventsAreForwarded checks which bytes count as an event.
func TestOnlyEventsAreForwarded(t *testing.T) {
	for _, tt := range []struct {
		event string
		want  bool
	}{
		{"id: 1\ndata: a\n\n", true},
		{"x-version: 3\nid: 1\ndata: a\ndata: b\n\n", true},
		{"event: error\nid:1\ndata\n\n", true},
		{"id: 1\r\ndata: a\r\n\n", true},
		{": comment\n\n", true},
		{"retry: 100\n\n", true},
		{"data: a\n\n", true},
		{"internal error\n\n", false},
		{"error: a\n\n", false},
		{"HTTP/1.1 500 Bad\r\nContent-Length: 3\r\n\r\nbad\n\n", false},
		{"id: 1\ndaHTTP/1.1 500 Bad\r\n\r\nbad\n\n", false},
		{"id: 1\nid: 1\ndata: a\n\n", false},
		{"{\"error\": 1}\n\n", false},
		{"\x00\x01\n\n", false},
	} {
		_, _, err := readEvent([]byte(tt.event))
		assert.Equal(t, err == nil, tt.want, "%q: %v", tt.event, err)
	}
}

// TestStreamOfCommentsIsReplaced has a run send comments but no event.
func TestStreamOfCommentsIsReplaced(t *testing.T) {
	for _, target := range []string{"/gen/x", "/events/x"} {
		t.Run(target, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newHarness(t, "u", "v")
				firstThen(b, func(c net.Conn, _ *http.Request) bool {
					writef(c, "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nSigned: yes\r\nTransfer-Encoding: chunked\r\n\r\n")
					writeChunk(c, eventText("1", 1))
					for range 100 {
						time.Sleep(200 * time.Millisecond)
						writeChunk(c, ": still here\n\n")
					}
					return false
				}, streamEvents(9, time.Millisecond))
				a := b.call("POST", target, "1")
				assert.NilError(t, a.err)
				assert.Equal(t, strings.ReplaceAll(a.body, ": still here\n\n", ""), completeStream("1", 9))
				assert.Assert(t, a.took < 2*time.Second, "%s", a.took)
			})
		})
	}
}

// TestLongSilenceCostsFewProbes has a run whose engines answer stay silent for most of its caller's patience. Each
// probe opens a connection.
func TestLongSilenceCostsFewProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t)
		firstThen(b, pausedStream(9, 3, 1900*time.Millisecond), answerNotRun)
		assert.NilError(t, b.call("POST", "/gen/x", "1").err)
		probes := int(b.client.Dials()) - b.upstreams["first-a"].runCount() - b.upstreams["first-b"].runCount()
		assert.Assert(t, probes >= 3, "engines not probed")
		assert.Assert(t, probes <= 3*8, "%d probes of three engines in 1.9 s", probes)
	})
}

// TestLongErrorAnswerIsNotCutShort has a stream's upstream answer with an error that is longer than what is
// buffered. The caller must not receive a part of it as if it were complete.
func TestLongErrorAnswerIsNotCutShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, "u")
		long := strings.Repeat("x", maxBufferedBytes+10)
		b.upstreams["u"].setHandler(func(c net.Conn, _ *http.Request) bool {
			writef(c, "HTTP/1.1 500 Bad\r\nRequest-Id: 1\r\nSigned: yes\r\nContent-Length: %d\r\n\r\n%s", len(long), long)
			return true
		})
		a := b.call("POST", "/live/x", "1")
		assert.Assert(t, a.err != nil || a.header.Get("Signed") == "" || a.body == long, "%d of %d bytes passed on as the whole answer", len(a.body), len(long))
	})
}

// TestEndlessEventEndsItsRun has a run send an event without end, while another stream goes on.
func TestEndlessEventEndsItsRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, "u", "v")
		firstThen(b, func(c net.Conn, _ *http.Request) bool {
			writef(c, "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nSigned: yes\r\nTransfer-Encoding: chunked\r\n\r\n")
			writeChunk(c, eventText("1", 1)+"data: ")
			for range 4 * maxEventBytes / 1024 {
				writeChunk(c, strings.Repeat("x", 1024))
				time.Sleep(10 * time.Microsecond)
			}
			return false
		}, streamEvents(9, time.Millisecond))
		a := b.call("POST", "/events/x", "1")
		assert.NilError(t, a.err)
		assert.Equal(t, a.body, completeStream("1", 9))
	})
}

var errBusy = errors.New("busy")

func TestRerouteAvoidsBlockingEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t)
		on := make(chan struct{})
		b.rerouter.result = func(p *ferrypath.Path) error {
			for _, h := range p.Hops() {
				if h.Upstream.Name == "last-a" {
					return &BlockedError{Address: h.Upstream.Address, Err: errBusy}
				}
			}
			close(on)
			return nil
		}
		setFirstEngines(b, func(*testUpstream) handler {
			return func(c net.Conn, r *http.Request) bool {
				id := r.Header.Get("Request-Id")
				writef(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSigned: yes\r\nTransfer-Encoding: chunked\r\n\r\n", id)
				writeChunk(c, eventText(id, 1))
				b.upstreams[strings.Fields(r.Header.Get("Path"))[1]].l.Close()
				<-on
				writeChunk(c, eventText(id, 2))
				writef(c, "0\r\n\r\n")
				return true
			}
		})
		a := b.call("POST", "/gen/x", "1")
		assert.NilError(t, a.err)
		last := b.rerouter.paths[len(b.rerouter.paths)-1]
		assert.Assert(t, strings.HasSuffix(last, "last-b"), "%v", b.rerouter.paths)
	})
}

// TestLastRunHasNoIdleTimeout has the last permitted run of a stream stay silent for longer than the idle
// timeout.
func TestLastRunHasNoIdleTimeout(t *testing.T) {
	const pause = 1700 * time.Millisecond
	late := func(c net.Conn, r *http.Request) bool {
		time.Sleep(pause)
		return streamEvents(9, time.Millisecond)(c, r)
	}
	paused := func(c net.Conn, _ *http.Request) bool {
		writef(c, "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nSigned: yes\r\nTransfer-Encoding: chunked\r\n\r\n")
		writeChunk(c, eventText("1", 4))
		time.Sleep(pause)
		for i := 5; i <= 9; i++ {
			writeChunk(c, eventText("1", i))
		}
		writef(c, "0\r\n\r\n")
		return true
	}
	broken := func(c net.Conn, r *http.Request) bool { return streamEventsUpTo(c, r, 3, 9, time.Millisecond) }
	for _, tt := range []struct {
		name, target  string
		first, second handler
	}{
		{"path, between events", "/gen/x", broken, paused},
		{"path, before the first event", "/gen/x", func(net.Conn, *http.Request) bool { return false }, late},
		{"single upstream, between events", "/events/x", broken, paused},
		{"single upstream, not repeatable", "/live/x", late, late},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newHarness(t, "u", "v")
				runs := 0
				do := func(c net.Conn, r *http.Request) bool {
					runs++
					if runs == 1 {
						return tt.first(c, r)
					}
					return tt.second(c, r)
				}
				for _, s := range b.upstreams {
					s.setHandler(do)
				}
				a := b.call("POST", tt.target, "1")
				assert.NilError(t, a.err)
				assert.Equal(t, a.body, completeStream("1", 9))
			})
		})
	}
}

// TestAttemptCounting ends runs whose first engine accepts no new connections, for different reasons.
func TestAttemptCounting(t *testing.T) {
	for _, tt := range []struct {
		name  string
		err   error
		alone bool
		// probed is set if the first engine answered a probe just before it was gone.
		probed bool
		want   int
	}{
		{"first engine failed the probe", errFirstEngineDead, false, false, 0},
		{"connection lost, first engine gone", io.ErrUnexpectedEOF, false, false, 0},
		{"connection lost, first engine gone after it answered a probe", io.ErrUnexpectedEOF, false, true, 0},
		{"connection lost, all engines gone", io.ErrUnexpectedEOF, true, false, 1},
		{"idle timeout", errStalled, false, false, 1},
		{"replaced by a run in another failure domain", errRestartElsewhere, false, false, 1},
		{"replaced by a run that was started beside it", errReplaced, false, false, 1},
		{"replaced since its first engine failed the probe", errors.Join(errReplaced, errFirstEngineDead), false, false, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newHarness(t)
				chooser := b.forwarder.cfg.Services.Chooser("llm")
				run, err := chooser.Pick(ferrypath.Work{Prompt: 1, Answer: 1})
				assert.NilError(t, err)
				if tt.probed {
					assert.Equal(t, len(b.forwarder.prober.deadHops(run.Path().Hops(), []int{0}, time.Time{})), 0)
					time.Sleep(aliveTTL / 2)
				}
				for i, h := range run.Path().Hops() {
					if i == 0 || tt.alone {
						b.upstreams[h.Upstream.Name].l.Close()
					}
				}
				r := &request{route: &ferryconfig.Route{Repeat: ferryconfig.RepeatFromEvent, MaxAttempts: 2}, service: b.forwarder.cfg.Services.get("llm")}
				s := &callerStream{Forwarder: b.forwarder, r: r}
				s.handleBrokenRun(t.Context(), enginePath{run}, tt.err)
				assert.Equal(t, r.ran, tt.want)
			})
		})
	}
}
