package ferryforward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferrymemory"
	"cactusferry.dev/ferry/ferryoutcome"
)

// entryMemory is the memory limit of the smallest entries, and answerShare the share of it that answers may take together.
const (
	entryMemory = 284 << 20
	answerShare = entryMemory / 3
)

// flood writes a head and 320 KiB within 0.8 s, and then slowly more until the peer closes the connection.
func flood(head, text string) handler {
	return func(c net.Conn, r *http.Request) bool {
		writef(c, "%s", strings.ReplaceAll(head, "ID", r.Header.Get("Request-Id")))
		block := strings.Repeat(text, max(1, (4<<10)/len(text)))
		for sent := 0; ; sent += len(block) {
			if _, err := io.WriteString(c, block); err != nil {
				return false
			}
			if sent > 320<<10 {
				time.Sleep(100 * time.Millisecond)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

func liveHeap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// discardAnswer sends a request and reads what comes, keeping nothing. It returns the status, zero if there is none, and
// whether the answer was complete.
func (b *harness) discardAnswer(target, id string) (status int, whole bool) {
	c := b.dial()
	defer c.Close()
	writef(c, "GET %s HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nKey: good\r\nWait-Ms: 2000\r\n\r\n", target, id)
	w, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, false
	}
	_, err = io.Copy(io.Discard, w.Body)
	return w.StatusCode, err == nil
}

// TestSumOfEndlessAnswersFitsIntoAnEntry has many calls at once meet upstreams whose bytes never end. The live heap of the
// process, callers and upstreams included, must stay within a share of an entry's limit, and usual answers must go on.
func TestSumOfEndlessAnswersFitsIntoAnEntry(t *testing.T) {
	const signed = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nSigned: yes\r\nTransfer-Encoding: chunked\r\n\r\n"
	const failed = "HTTP/1.1 500 Failed\r\nRequest-Id: ID\r\nSigned: yes\r\nTransfer-Encoding: chunked\r\n\r\n"
	chunk := "1000\r\n" + strings.Repeat("a", 4096) + "\r\n"
	for _, tt := range []struct {
		name, target, head, text string
		calls                    int
	}{
		{"body", "/safe/x", signed, chunk, 800},
		{"body of an error", "/safe/x", failed, chunk, 800},
		{"body of an error to a stream", "/events/x", failed, chunk, 800},
		{"event", "/live/x", signed, chunk, 800},
		{"header line", "/once/x", "HTTP/1.1 200 OK\r\nA: ", strings.Repeat("a", 1024), 1600},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newHarness(t, "u", "v")
				for _, u := range b.upstreams {
					u.setHandler(func(c net.Conn, r *http.Request) bool {
						if r.Header.Get("Request-Id") == "sound" {
							return answerOK(c, r)
						}
						return flood(tt.head, tt.text)(c, r)
					})
				}
				before := liveHeap()
				var wg sync.WaitGroup
				for range tt.calls {
					wg.Go(func() {
						status, whole := b.discardAnswer(tt.target, "endless")
						assert.Check(t, !whole || status >= http.StatusInternalServerError, "endless answer taken as complete")
						assert.Check(t, status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests, "call that was sent is said not to have run: %d", status)
					})
				}
				peak := before
				for i := range 18 {
					time.Sleep([]time.Duration{20 * time.Millisecond, 100 * time.Millisecond}[i/10])
					peak = max(peak, liveHeap())
					a := b.call("GET", "/safe/x", "sound")
					assert.Equal(t, a.body, "answer to sound")
				}
				wg.Wait()
				time.Sleep(time.Second)
				assert.Equal(t, b.memory.Taken(), ferrymemory.Bytes(0))
				t.Logf("live heap: %d MB before, %d MB at the peak", before>>20, peak>>20)
				assert.Assert(t, peak < answerShare, "live heap of %d MB", peak>>20)
			})
		})
	}
}

// exhaustMemory takes all memory for answers, and returns what gives it back.
func (b *harness) exhaustMemory() *ferrymemory.Hold {
	h := b.memory.Hold()
	for h.Take(ferrymemory.FreeBytes) {
	}
	return h
}

// TestAnswersWithoutMemoryLeft has upstreams answer at more than usual length while the budget is exhausted: what is whole
// comes whole, and what is cut short is not taken as complete nor said not to have run.
func TestAnswersWithoutMemoryLeft(t *testing.T) {
	const head = "HTTP/1.1 %d X\r\nRequest-Id: 1\r\nSigned: yes\r\n%sTransfer-Encoding: chunked\r\n\r\n"
	long := strings.Repeat("long ", 20<<10)
	event := "id: 1\ndata: " + long + "\n\n"
	for _, tt := range []struct {
		name, target string
		status       int
		header, body string
		broken       bool
		// want is the status that the caller gets, and whole whether the answer of the upstream comes whole.
		want  int
		whole bool
	}{
		{name: "answer", target: "/once/x", status: 200, body: long, want: 200, whole: true},
		{name: "broken answer", target: "/once/x", status: 200, body: long, broken: true, want: 200},
		{name: "error", target: "/once/x", status: 500, body: long, want: 500, whole: true},
		{name: "broken error", target: "/once/x", status: 500, body: long, broken: true, want: 500},
		{name: "long header", target: "/once/x", status: 200, header: "A: " + long[:8<<10] + "\r\n", body: "short", want: 502},
		{name: "usual answer", target: "/once/x", status: 200, body: "short", want: 200, whole: true},
		{name: "long event", target: "/live/x", status: 200, body: event, want: 502},
		{name: "error to a stream", target: "/live/x", status: 500, body: long, want: 502},
		{name: "usual event", target: "/live/x", status: 200, body: eventText("1", 1), want: 200, whole: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newHarness(t, "u")
				u := b.upstreams["u"]
				u.setHandler(countRuns(u, func(c net.Conn, _ *http.Request) bool {
					writef(c, head, tt.status, tt.header)
					writeChunk(c, tt.body)
					if !tt.broken {
						writef(c, "0\r\n\r\n")
					}
					return !tt.broken
				}))
				all := b.exhaustMemory()
				a := b.call("GET", tt.target, "1")
				assert.Equal(t, a.status, tt.want)
				assert.Equal(t, a.err == nil && a.body == tt.body, tt.whole)
				assert.Equal(t, a.err != nil, tt.broken)
				assert.Equal(t, u.runCount(), 1)
				all.Release()
				time.Sleep(time.Second)
				assert.Equal(t, b.memory.Taken(), ferrymemory.Bytes(0))
			})
		})
	}
}

// TestEventCutShortIsNotTheEnd has a stream's second run end without an event after the first was cut short in one.
func TestEventCutShortIsNotTheEnd(t *testing.T) {
	for _, tt := range []struct {
		name  string
		bytes int
		full  bool
	}{
		{"longer than the limit", maxEventBytes + 1, false},
		{"longer than what is left of the budget", 16 << 10, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newHarness(t, "u", "v")
				for _, name := range []string{"u", "v"} {
					b.upstreams[name].setHandler(func(c net.Conn, r *http.Request) bool {
						writef(c, "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nSigned: yes\r\nTransfer-Encoding: chunked\r\n\r\n")
						if r.Header.Get("Last-Event-Id") == "" {
							writeChunk(c, eventText("1", 1)+"id: 2\ndata: "+strings.Repeat("a", tt.bytes)+"\n\n")
						}
						writef(c, "0\r\n\r\n")
						return true
					})
				}
				if tt.full {
					b.exhaustMemory()
				}
				a := b.call("GET", "/events/x", "1")
				assert.Equal(t, a.body, eventText("1", 1))
				assert.Assert(t, a.err != nil, "stream taken as complete after event 1 of 2")
			})
		})
	}
}

// TestRequestWithoutMemoryLeftIsRefusedAsNotRun sends a long and a usual request while the budget is exhausted.
func TestRequestWithoutMemoryLeftIsRefusedAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, "u")
		u := b.upstreams["u"]
		u.setHandler(countRuns(u, answerOK))
		b.exhaustMemory()
		a := b.call("POST", "/once/x", "long", "Key: good", "Content-Length: 20000", "", strings.Repeat("a", 20000))
		assert.NilError(t, a.err)
		assert.Equal(t, a.status, http.StatusServiceUnavailable)
		assert.Equal(t, a.header.Get("Request-Id"), "long")
		assert.Equal(t, a.header.Get(ferryoutcome.Header), string(ferryoutcome.NotRun))
		assert.Assert(t, a.header.Get("Retry-After") != "")
		assert.Equal(t, u.runCount(), 0)
		assert.Equal(t, b.call("POST", "/once/x", "usual").status, http.StatusOK)
	})
}
