package ferryforward

import (
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrysuspect"
)

// crashOn makes an engine crash when it begins to write on a prompt with the given part.
func crashOn(s *testUpstream, part string) handler {
	return countRuns(s, func(c net.Conn, r *http.Request) bool {
		if !strings.Contains(r.Header.Get("Prompt"), part) {
			return streamEvents(9, 30*time.Millisecond)(c, r)
		}
		writef(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSigned: yes\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Request-Id"))
		s.l.Close()
		return false
	})
}

// newCrashHarness returns a harness with three engines for the first layers, which crash on part 666.
func newCrashHarness(t *testing.T) (*harness, func() int) {
	b := newHarness(t)
	b.table.Replace(append(b.listed, b.addUpstream("first-c", "llm", ferryid.LayerRange{From: 0, To: 2})), 2)
	setFirstEngines(b, func(s *testUpstream) handler { return crashOn(s, "666") })
	b.upstreams["first-c"].setHandler(crashOn(b.upstreams["first-c"], "666"))
	return b, func() int {
		return b.upstreams["first-a"].runCount() + b.upstreams["first-b"].runCount() + b.upstreams["first-c"].runCount()
	}
}

func TestRequestThatCrashedTwoEnginesIsNotSentToAThird(t *testing.T) {
	for _, prompt := range []string{"1 666", "", "666"} {
		t.Run("prompt "+prompt, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b, runs := newCrashHarness(t)
				if prompt == "" {
					for _, name := range []string{"first-a", "first-b", "first-c"} {
						b.upstreams[name].setHandler(crashOn(b.upstreams[name], ""))
					}
				}
				a := b.call("POST", "/gen/x", "1", "Key: good", "Wait-Ms: 20000", "Prompt: "+prompt)
				assert.NilError(t, a.err)
				assert.Equal(t, a.status, http.StatusBadGateway, a.body)
				assert.Equal(t, a.header.Get("Outcome"), "Unknown")
				assert.Equal(t, runs(), 2)
			})
		})
	}
}

func TestBlockedPromptPartIsRefusedAtOnceAndOthersAreServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, runs := newCrashHarness(t)
		suspects := b.forwarder.cfg.Suspects
		for _, engine := range []ferryid.UpstreamName{"x", "y"} {
			suspects.Crashed("other", "llm", engine, []ferrysuspect.PartID{666})
		}
		a := b.call("POST", "/gen/x", "1", "Key: good", "Wait-Ms: 20000", "Prompt: 1 666")
		assert.NilError(t, a.err)
		assert.Equal(t, a.status, http.StatusServiceUnavailable, a.body)
		assert.Equal(t, a.header.Get("Outcome"), "NotRun")
		assert.Equal(t, a.header.Get("Retry-After"), "5")
		assert.Assert(t, a.took < time.Millisecond, "%s", a.took)
		assert.Equal(t, runs(), 0)
		sound := b.call("POST", "/gen/x", "2", "Key: good", "Wait-Ms: 20000", "Prompt: 1 2")
		assert.Equal(t, sound.body, completeStream("2", 9))
	})
}

func TestPromptPartThatWasWrittenOnIsNotBlocked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, _ := newCrashHarness(t)
		suspects := b.forwarder.cfg.Suspects
		suspects.Crashed("other", "llm", "x", []ferrysuspect.PartID{1})
		assert.Equal(t, b.call("POST", "/gen/x", "1", "Key: good", "Wait-Ms: 20000", "Prompt: 1").body, completeStream("1", 9))
		assert.Assert(t, !suspects.Suspected("llm", []ferrysuspect.PartID{1}))
		suspects.Crashed("other", "llm", "y", []ferrysuspect.PartID{1})
		assert.Equal(t, b.call("POST", "/gen/x", "2", "Key: good", "Wait-Ms: 20000", "Prompt: 1").body, completeStream("2", 9))
	})
}

func TestRunsMovedOffACrashedEngineAvoidSuspectRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, _ := newCrashHarness(t)
		services := b.forwarder.cfg.Services
		suspect := &request{service: services.get("llm"), crashes: 1}
		first, err := b.forwarder.pickPath(suspect, nil)
		assert.NilError(t, err)
		for range 6 {
			moved := &request{service: services.get("llm"), arrived: 1}
			run, err := b.forwarder.pickPath(moved, nil)
			assert.NilError(t, err)
			assert.Assert(t, run.Path().First().Name != first.Path().First().Name)
		}
		time.Sleep(isolationTime)
		assert.Equal(t, len(services.get("llm").isolation.avoided(true, b.clock.Now())), 0)
	})
}

func TestStartedStreamResumesThoughItsPartIsBlocked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t)
		var runs atomic.Int32
		setFirstEngines(b, func(s *testUpstream) handler {
			return func(c net.Conn, r *http.Request) bool {
				if runs.Add(1) > 1 {
					return streamEvents(9, 30*time.Millisecond)(c, r)
				}
				streamEventsUpTo(c, r, 6, 9, 50*time.Millisecond)
				s.l.Close()
				return false
			}
		})
		time.AfterFunc(250*time.Millisecond, func() {
			for _, engine := range []ferryid.UpstreamName{"w", "x", "y", "z"} {
				b.forwarder.cfg.Suspects.Crashed("other", "llm", engine, []ferrysuspect.PartID{1})
			}
			assert.Check(t, b.forwarder.cfg.Suspects.Admit("other", "llm", []ferrysuspect.PartID{1}) != nil)
		})
		a := b.call("POST", "/gen/x", "1", "Key: good", "Wait-Ms: 20000", "Prompt: 1")
		assert.NilError(t, a.err, a.body)
		assert.Equal(t, a.body, completeStream("1", 9))
	})
}

// TestUnreachableEnginesBlockNoPart ends the engines after the first of a path while a run waits.
func TestUnreachableEnginesBlockNoPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t)
		setFirstEngines(b, func(*testUpstream) handler {
			return func(c net.Conn, r *http.Request) bool {
				time.Sleep(700 * time.Millisecond)
				return streamEvents(9, time.Millisecond)(c, r)
			}
		})
		for _, name := range []string{"mid-a", "mid-b", "last-a"} {
			b.upstreams[name].l.Close()
		}
		b.call("POST", "/gen/x", "1", "Key: good", "Wait-Ms: 20000", "Prompt: 1")
		assert.Assert(t, !b.forwarder.cfg.Suspects.Suspected("llm", []ferrysuspect.PartID{1}))
	})
}

func TestCrashIsSeenThoughAnotherUpstreamIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, "a", "b", "c")
		dead := b.upstreams["a"].address
		b.upstreams["a"].l.Close()
		b.upstreams["b"].l.Close()
		others := []string{b.upstreams["b"].address, b.upstreams["c"].address}
		assert.Assert(t, b.forwarder.prober.deadBeside(dead, others, time.Time{}))
		assert.Assert(t, !b.forwarder.prober.deadBeside(others[1], others[:1], time.Time{}))
		b.upstreams["c"].l.Close()
		time.Sleep(time.Second)
		assert.Assert(t, !b.forwarder.prober.deadBeside(dead, others, time.Time{}), "fault of this entry")
	})
}
