package ferryforward

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"cactusferry.dev/ferry/ferryoutcome"
)

// upstreamAction is one way in which an upstream handles a request.
type upstreamAction struct {
	name string
	// runs is set if the upstream runs the request.
	runs   bool
	handle handler
}

const streamLength = 6

// upstreamActions lists the ways in which upstreams handle calls and streams.
var upstreamActions = []upstreamAction{
	{"answers", true, answerOrStream(streamLength)},
	{"closes in the middle of the answer", true, answerOrStream(2)},
	{"answers 500", true, func(c net.Conn, r *http.Request) bool {
		writef(c, "HTTP/1.1 500 Bad\r\nRequest-Id: %s\r\nSigned: yes\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Request-Id"))
		return true
	}},
	{"answers not run", false, answerNotRun},
	{"is a different instance", false, func(c net.Conn, r *http.Request) bool {
		writef(c, "HTTP/1.1 421 Elsewhere\r\nRequest-Id: %s\r\nElsewhere: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Request-Id"))
		return true
	}},
	{"runs and closes unanswered", true, closeUnanswered},
	{"runs and answers with a wrong id first", true, func(c net.Conn, r *http.Request) bool {
		writef(c, "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nSigned: yes\r\nContent-Length: 5\r\n\r\nother")
		return answerOrStream(streamLength)(c, r)
	}},
	{"runs and answers twice", true, func(c net.Conn, r *http.Request) bool {
		answerOrStream(streamLength)(c, r)
		return answerOrStream(streamLength)(c, r)
	}},
	{"runs and sends invalid HTTP", true, func(c net.Conn, _ *http.Request) bool {
		writef(c, "\x00\x01nonsense\r\n\r\n")
		return false
	}},
	{"runs and does not answer", true, neverAnswer},
	{"answers not run, twice", false, func(c net.Conn, r *http.Request) bool {
		return answerNotRun(c, r) && answerNotRun(c, r)
	}},
	{"runs and closes in the middle of the head", true, func(c net.Conn, r *http.Request) bool {
		writef(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSigned: yes\r\nConte", r.Header.Get("Request-Id"))
		return false
	}},
	{"answers without a length", true, func(c net.Conn, r *http.Request) bool { return answerUnframed(c, r, streamLength) }},
	{"closes in the middle of an answer without a length", true, func(c net.Conn, r *http.Request) bool {
		if !streams(r.URL.Path) {
			return answerOrStream(2)(c, r)
		}
		answerUnframed(c, r, 2)
		writef(c, "id: 3\nda")
		return false
	}},
	{"answers with an error inside the answer", true, func(c net.Conn, r *http.Request) bool {
		if !streams(r.URL.Path) {
			return answerOrStream(2)(c, r)
		}
		answerUnframed(c, r, 2)
		writef(c, "HTTP/1.1 500 Bad\r\nContent-Length: 7\r\n\r\nerror\n\n")
		return false
	}},
	{"answers a stream with a page", true, func(c net.Conn, r *http.Request) bool {
		if !streams(r.URL.Path) {
			return answerOK(c, r)
		}
		writef(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSigned: yes\r\nContent-Type: text/html\r\nContent-Length: 7\r\n\r\nerror\n\n", r.Header.Get("Request-Id"))
		return true
	}},
	{"answers a stream without events", true, func(c net.Conn, r *http.Request) bool {
		if !streams(r.URL.Path) {
			return answerOK(c, r)
		}
		return streamEventsUpTo(c, r, 0, 0, 0)
	}},
}

// streams reports whether a path of the tests is that of a stream.
func streams(path string) bool {
	return strings.HasPrefix(path, "/events/") || strings.HasPrefix(path, "/live/")
}

// answerUnframed answers a call, or streams events up to upTo, without a length.
func answerUnframed(c net.Conn, r *http.Request, upTo int) bool {
	id := r.Header.Get("Request-Id")
	writef(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSigned: yes\r\n\r\n", id)
	if !streams(r.URL.Path) {
		writef(c, "answer to %s", id)
		return false
	}
	from, _ := strconv.Atoi("0" + r.Header.Get("Last-Event-Id"))
	for i := from + 1; i <= upTo; i++ {
		time.Sleep(time.Millisecond)
		writef(c, "%s", eventText(id, i))
	}
	return false
}

// answerOrStream streams events up to upTo, or answers a call completely if upTo is streamLength and truncated
// otherwise.
func answerOrStream(upTo int) handler {
	return func(c net.Conn, r *http.Request) bool {
		if streams(r.URL.Path) {
			return streamEventsUpTo(c, r, upTo, streamLength, time.Millisecond)
		}
		if upTo < streamLength {
			writef(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSigned: yes\r\nContent-Length: 99\r\n\r\nhalf", r.Header.Get("Request-Id"))
			return false
		}
		return answerOK(c, r)
	}
}

// history is a series of requests with each upstream's action for each of them.
type history struct {
	targets []string
	actions [][]int
}

func drawHistory(t *rapid.T) history {
	upstreams := rapid.IntRange(1, 3).Draw(t, "upstreams")
	h := history{actions: make([][]int, upstreams)}
	for range rapid.IntRange(1, 6).Draw(t, "requests") {
		h.targets = append(h.targets, rapid.SampledFrom([]string{"/safe/x", "/once/x", "/events/x", "/live/x"}).Draw(t, "target"))
		for u := range h.actions {
			h.actions[u] = append(h.actions[u], rapid.IntRange(0, len(upstreamActions)-1).Draw(t, "action"))
		}
	}
	return h
}

// run runs a history and returns the violated guarantees.
func (h history) run(t *testing.T) (violations []string) {
	synctest.Test(t, func(t *testing.T) {
		var names []string
		for u := range h.actions {
			names = append(names, fmt.Sprintf("u%d", u))
		}
		b := newHarness(t, names...)
		for i, target := range h.targets {
			for u, name := range names {
				s, d := b.upstreams[name], upstreamActions[h.actions[u][i]]
				do := d.handle
				if d.runs {
					do = countRuns(s, do)
				}
				s.setHandler(do)
			}
			id := fmt.Sprintf("r%d", i)
			a := b.call("POST", target, id)
			runs := 0
			for _, name := range names {
				runs += b.upstreams[name].runCountOf(id)
			}
			if violation := checkAnswer(target, id, a, runs); violation != "" {
				violations = append(violations, fmt.Sprintf("%s %s: %s", id, target, violation))
			}
			time.Sleep(5 * time.Second) // ejected upstreams become usable again
		}
	})
	return violations
}

// checkAnswer returns the guarantee that an answer violates, or an empty string. No request may run more
// often than its route permits, no incomplete answer may look complete, and no request that ran may be
// reported as NotRun.
func checkAnswer(target, id string, a callerAnswer, runs int) string {
	streaming := streams(target)
	maxRuns := 2
	if target == "/once/x" || target == "/live/x" {
		maxRuns = 1
	}
	complete := "answer to " + id
	if streaming {
		complete = completeStream(id, streamLength)
	}
	switch {
	case runs > maxRuns:
		return fmt.Sprintf("request ran %d times", runs)
	case a.err != nil && (!streaming || !strings.HasPrefix(complete, a.body)):
		return fmt.Sprintf("answer aborted after %q: %v", a.body, a.err)
	case a.err == nil && a.status == http.StatusOK && a.body != complete:
		return fmt.Sprintf("answer was %q", a.body)
	case a.err == nil && a.header.Get("Outcome") == string(ferryoutcome.NotRun) && runs > 0:
		return fmt.Sprintf("outcome NotRun, but ran %d times", runs)
	case a.err == nil && (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests) && runs > 0:
		return fmt.Sprintf("refused with status %d, but ran %d times", a.status, runs)
	case a.took > 21*time.Second:
		return fmt.Sprintf("request took %s", a.took)
	}
	return ""
}

func TestGuaranteesUnderUpstreamFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := drawHistory(rt)
		for _, w := range h.run(t) {
			rt.Errorf("%s", w)
		}
	})
}
