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

func TestEventsComeWholeAndInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t, "u")
		b.servers["u"].set(events(20, 50*time.Millisecond))
		a := b.call("POST", "/events/x", "1")
		assert.NilError(t, a.err)
		assert.Equal(t, a.body, allEvents("1", 20))
		assert.Assert(t, a.took < 1100*time.Millisecond)
	})
}

func TestABrokenStreamGoesOnElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t, "u", "v")
		for _, name := range []string{"u", "v"} {
			s := b.servers[name]
			s.set(running(s, func(c net.Conn, r *http.Request) bool {
				if r.Header.Get("Last-Event-Id") == "" {
					return someEvents(c, r, 7, 20, time.Millisecond)
				}
				return someEvents(c, r, 20, 20, time.Millisecond)
			}))
		}
		a := b.call("POST", "/events/x", "1")
		assert.NilError(t, a.err)
		assert.Equal(t, a.body, allEvents("1", 20))
		assert.Equal(t, b.servers["u"].count()+b.servers["v"].count(), 2)
	})
}

func TestABrokenStreamNeverLooksWhole(t *testing.T) {
	for _, tt := range []struct {
		name, target string
		runs         int
	}{
		{"that may go on elsewhere, but breaks there too", "/events/x", 2},
		{"that may run once only", "/live/x", 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBed(t, "u", "v", "w")
				for _, name := range []string{"u", "v", "w"} {
					s := b.servers[name]
					s.set(running(s, func(c net.Conn, r *http.Request) bool {
						from := len(r.Header.Get("Last-Event-Id"))
						return someEvents(c, r, 7+from, 20, time.Millisecond)
					}))
				}
				a := b.call("POST", tt.target, "1")
				assert.Assert(t, a.err != nil)
				assert.Assert(t, strings.HasPrefix(allEvents("1", 20), a.body), "only whole events: %q", a.body)
				runs := b.servers["u"].count() + b.servers["v"].count() + b.servers["w"].count()
				assert.Equal(t, runs, tt.runs)
			})
		})
	}
}

func TestAStreamThatCannotBeginIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t, "u", "v")
		b.servers["u"].set(refuse)
		b.servers["v"].set(refuse)
		a := b.call("POST", "/live/x", "1")
		assert.Equal(t, a.status, 503)
		assert.Equal(t, a.header.Get("Outcome"), "NotRun")
		assert.Assert(t, a.took < 50*time.Millisecond, "at once, not after %s", a.took)
	})
}

// engines sets the same behaviour on all engines that take requests.
func engines(b *bed, do func(s *server) behaviour) {
	for _, name := range []string{"first-a", "first-b"} {
		b.servers[name].set(do(b.servers[name]))
	}
}

func TestARunIsLedAroundADeadEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		on := make(chan struct{})
		b.moved.f = func(*ferrypath.Path) error {
			close(on)
			return nil
		}
		engines(b, func(s *server) behaviour {
			return running(s, func(c net.Conn, r *http.Request) bool {
				id := r.Header.Get("Request-Id")
				say(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSigned: yes\r\nTransfer-Encoding: chunked\r\n\r\n", id)
				chunk(c, event(id, 1))
				mid := strings.Fields(r.Header.Get("Path"))[1]
				b.servers[mid].l.Close() // the engine in the middle dies
				<-on
				chunk(c, event(id, 2))
				say(c, "0\r\n\r\n")
				return true
			})
		})
		a := b.call("POST", "/gen/x", "1")
		assert.NilError(t, a.err)
		assert.Equal(t, a.body, allEvents("1", 2))
		assert.Assert(t, a.took < 200*time.Millisecond, "the caller noticed a pause of %s", a.took)
		assert.Equal(t, b.servers["first-a"].count()+b.servers["first-b"].count(), 1, "the run itself goes on")
		for _, path := range b.moved.paths {
			assert.Assert(t, strings.HasPrefix(path, "first-"), path)
		}
	})
}

func TestAStreamGoesOnWhenItsFirstEngineDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		engines(b, func(s *server) behaviour {
			return running(s, func(c net.Conn, r *http.Request) bool {
				if r.Header.Get("Last-Event-Id") != "" {
					return someEvents(c, r, 9, 9, time.Millisecond)
				}
				say(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSigned: yes\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Request-Id"))
				chunk(c, event(r.Header.Get("Request-Id"), 1))
				s.l.Close()
				time.Sleep(30 * time.Second)
				return false
			})
		})
		a := b.call("POST", "/gen/x", "1")
		assert.NilError(t, a.err)
		assert.Equal(t, a.body, allEvents("1", 9))
		assert.Assert(t, a.took < 250*time.Millisecond, "%s", a.took)
	})
}

func TestALivingRunIsNotCutOffForALongPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		engines(b, func(*server) behaviour { return events(4, 900*time.Millisecond) })
		a := b.call("POST", "/gen/x", "1")
		assert.NilError(t, a.err)
		assert.Equal(t, a.body, allEvents("1", 4))
		assert.Equal(t, len(b.moved.paths), 0)
	})
}

func TestABeginningStreamWaitsForNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		for name, held := range layers {
			if held.From == 2 {
				b.servers[name].l.Close()
				b.forward.cfg.Services.Chooser("llm").Dead(name)
			}
		}
		a := b.call("POST", "/gen/x", "1")
		assert.Equal(t, a.status, 503)
		assert.Equal(t, a.header.Get("Outcome"), "NotRun")
		assert.Assert(t, a.took < 50*time.Millisecond)
	})
}

func TestABegunStreamWaitsALittleForRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		began := time.Now()
		engines(b, func(*server) behaviour {
			return func(c net.Conn, r *http.Request) bool {
				if r.Header.Get("Last-Event-Id") == "" {
					return someEvents(c, r, 3, 9, time.Millisecond)
				}
				if time.Since(began) < 700*time.Millisecond {
					return refuse(c, r)
				}
				return someEvents(c, r, 9, 9, time.Millisecond)
			}
		})
		a := b.call("POST", "/gen/x", "1")
		assert.NilError(t, a.err)
		assert.Equal(t, a.body, allEvents("1", 9))
	})
}

func TestEventsAreCutAndCounted(t *testing.T) {
	whole, rest := splitEvents([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"))
	assert.Equal(t, string(whole), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
	assert.Equal(t, string(rest), "id: 3\nda")
	first, _ := nextEvent(whole)
	assert.Equal(t, string(eventID(first)), "1")
	assert.Assert(t, eventID([]byte("data: id: 4\n\n")) == nil)
	p := newPosition("2")
	assert.Assert(t, !p.advance([]byte("2")), "an event that the caller has is not passed on again")
	assert.Assert(t, p.advance([]byte("3")))
	assert.Assert(t, p.advance(nil))
	assert.Assert(t, p.advance([]byte("x")), "ids that are no numbers are always new")
	assert.Equal(t, p.id, "x")
}

var errBusy = errors.New("busy")

func TestAnEngineInTheWayIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		on := make(chan struct{})
		b.moved.f = func(p *ferrypath.Path) error {
			for _, h := range p.Hops() {
				if h.Upstream.Name == "last-a" {
					return &BlockedError{Address: h.Upstream.Address, Err: errBusy}
				}
			}
			close(on)
			return nil
		}
		engines(b, func(*server) behaviour {
			return func(c net.Conn, r *http.Request) bool {
				id := r.Header.Get("Request-Id")
				say(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSigned: yes\r\nTransfer-Encoding: chunked\r\n\r\n", id)
				chunk(c, event(id, 1))
				b.servers[strings.Fields(r.Header.Get("Path"))[1]].l.Close()
				<-on
				chunk(c, event(id, 2))
				say(c, "0\r\n\r\n")
				return true
			}
		})
		a := b.call("POST", "/gen/x", "1")
		assert.NilError(t, a.err)
		last := b.moved.paths[len(b.moved.paths)-1]
		assert.Assert(t, strings.HasSuffix(last, "last-b"), "%v", b.moved.paths)
	})
}

// TestTheLastRunIsNotGivenUp lets the last run that a stream may have pause for longer than another would get.
func TestTheLastRunIsNotGivenUp(t *testing.T) {
	const pause = 1700 * time.Millisecond
	late := func(c net.Conn, r *http.Request) bool {
		time.Sleep(pause)
		return events(9, time.Millisecond)(c, r)
	}
	paused := func(c net.Conn, _ *http.Request) bool {
		say(c, "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nSigned: yes\r\nTransfer-Encoding: chunked\r\n\r\n")
		chunk(c, event("1", 4))
		time.Sleep(pause)
		for i := 5; i <= 9; i++ {
			chunk(c, event("1", i))
		}
		say(c, "0\r\n\r\n")
		return true
	}
	broken := func(c net.Conn, r *http.Request) bool { return someEvents(c, r, 3, 9, time.Millisecond) }
	for _, tt := range []struct {
		name, target  string
		first, second behaviour
	}{
		{"over a path, once begun", "/gen/x", broken, paused},
		{"over a path, before its first event", "/gen/x", func(net.Conn, *http.Request) bool { return false }, late},
		{"at one upstream, once begun", "/events/x", broken, paused},
		{"at one upstream that may run it only once", "/live/x", late, late},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBed(t, "u", "v")
				runs := 0
				do := func(c net.Conn, r *http.Request) bool {
					runs++
					if runs == 1 {
						return tt.first(c, r)
					}
					return tt.second(c, r)
				}
				for _, s := range b.servers {
					s.set(do)
				}
				a := b.call("POST", tt.target, "1")
				assert.NilError(t, a.err)
				assert.Equal(t, a.body, allEvents("1", 9))
			})
		})
	}
}

// TestWhichRunsCountAsAttempts ends runs whose first engine takes no new connection any more.
func TestWhichRunsCountAsAttempts(t *testing.T) {
	for _, tt := range []struct {
		name  string
		err   error
		alone bool
		want  int
	}{
		{"its first engine is found dead", errDead, false, 0},
		{"it broke off, and its first engine is gone", io.ErrUnexpectedEOF, false, 0},
		{"it broke off, and nothing answers any more", io.ErrUnexpectedEOF, true, 1},
		{"it was given up because it made no progress", errStalled, false, 1},
		{"it was given up for a run elsewhere", errElsewhere, false, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBed(t)
				chooser := b.forward.cfg.Services.Chooser("llm")
				run, err := chooser.Pick(ferrypath.Work{Prompt: 1, Answer: 1})
				assert.NilError(t, err)
				for i, h := range run.Path().Hops() {
					if i == 0 || tt.alone {
						b.servers[h.Upstream.Name].l.Close()
					}
				}
				r := &request{route: &ferryconfig.Route{Repeat: ferryconfig.RepeatFromEvent, MaxAttempts: 2}}
				s := &streaming{Forwarder: b.forward, r: r}
				s.broken(t.Context(), chain{run}, tt.err)
				assert.Equal(t, r.ran, tt.want)
			})
		})
	}
}
