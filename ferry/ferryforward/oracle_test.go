package ferryforward

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"cactusferry.dev/ferry/ferryoutcome"
)

// deed is one way in which an upstream of the oracle's histories treats a request.
type deed struct {
	name string
	// runs says that the upstream runs the request.
	runs bool
	do   behaviour
}

const streamLength = 6

// deeds are what upstreams do to calls and streams.
var deeds = []deed{
	{"answers", true, answerOrStream(streamLength)},
	{"breaks off in the middle", true, answerOrStream(2)},
	{"fails", true, func(c net.Conn, r *http.Request) bool {
		say(c, "HTTP/1.1 500 Bad\r\nRequest-Id: %s\r\nSigned: yes\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Request-Id"))
		return true
	}},
	{"refuses", false, refuse},
	{"is another upstream", false, func(c net.Conn, r *http.Request) bool {
		say(c, "HTTP/1.1 421 Elsewhere\r\nRequest-Id: %s\r\nElsewhere: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Request-Id"))
		return true
	}},
	{"runs and loses the answer", true, breakOff},
	{"runs and answers another request first", true, func(c net.Conn, r *http.Request) bool {
		say(c, "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nSigned: yes\r\nContent-Length: 5\r\n\r\nother")
		return answerOrStream(streamLength)(c, r)
	}},
	{"runs and answers twice", true, func(c net.Conn, r *http.Request) bool {
		answerOrStream(streamLength)(c, r)
		return answerOrStream(streamLength)(c, r)
	}},
	{"runs and sends nonsense", true, func(c net.Conn, _ *http.Request) bool {
		say(c, "\x00\x01nonsense\r\n\r\n")
		return false
	}},
	{"runs and never answers", true, silent},
}

// answerOrStream answers a call whole, or cut off if not all events are to come, and streams up to an event.
func answerOrStream(upTo int) behaviour {
	return func(c net.Conn, r *http.Request) bool {
		if strings.HasPrefix(r.URL.Path, "/events/") || strings.HasPrefix(r.URL.Path, "/live/") {
			return someEvents(c, r, upTo, streamLength, time.Millisecond)
		}
		if upTo < streamLength {
			say(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSigned: yes\r\nContent-Length: 99\r\n\r\nhalf", r.Header.Get("Request-Id"))
			return false
		}
		return whole(c, r)
	}
}

// history is a series of requests and what each upstream does to each of them.
type history struct {
	targets []string
	deeds   [][]int
}

func drawHistory(t *rapid.T) history {
	upstreams := rapid.IntRange(1, 3).Draw(t, "upstreams")
	h := history{deeds: make([][]int, upstreams)}
	for range rapid.IntRange(1, 6).Draw(t, "requests") {
		h.targets = append(h.targets, rapid.SampledFrom([]string{"/safe/x", "/once/x", "/events/x", "/live/x"}).Draw(t, "target"))
		for u := range h.deeds {
			h.deeds[u] = append(h.deeds[u], rapid.IntRange(0, len(deeds)-1).Draw(t, "deed"))
		}
	}
	return h
}

// play runs a history and returns what contradicts the promises.
func (h history) play(t *testing.T) (wrong []string) {
	synctest.Test(t, func(t *testing.T) {
		var names []string
		for u := range h.deeds {
			names = append(names, fmt.Sprintf("u%d", u))
		}
		b := newBed(t, names...)
		for i, target := range h.targets {
			for u, name := range names {
				s, d := b.servers[name], deeds[h.deeds[u][i]]
				do := d.do
				if d.runs {
					do = running(s, do)
				}
				s.set(do)
			}
			id := fmt.Sprintf("r%d", i)
			a := b.call("POST", target, id)
			runs := 0
			for _, name := range names {
				runs += b.servers[name].countOf(id)
			}
			if fault := judge(target, id, a, runs); fault != "" {
				wrong = append(wrong, fmt.Sprintf("%s %s: %s", id, target, fault))
			}
			time.Sleep(5 * time.Second) // upstreams that were taken out come back
		}
	})
	return wrong
}

// judge returns how an answer contradicts the promises, or nothing.
func judge(target, id string, a answer, runs int) string {
	streaming := strings.HasPrefix(target, "/events/") || strings.HasPrefix(target, "/live/")
	most := 2
	if target == "/once/x" || target == "/live/x" {
		most = 1
	}
	full := "answer to " + id
	if streaming {
		full = allEvents(id, streamLength)
	}
	switch {
	case runs > most:
		return fmt.Sprintf("ran %d times", runs)
	case a.err != nil && (!streaming || !strings.HasPrefix(full, a.body)):
		return fmt.Sprintf("broke off after %q: %v", a.body, a.err)
	case a.err == nil && a.status == http.StatusOK && a.body != full:
		return fmt.Sprintf("got %q", a.body)
	case a.err == nil && a.header.Get("Outcome") == string(ferryoutcome.NotRun) && runs > 0:
		return fmt.Sprintf("was told NotRun, ran %d times", runs)
	case a.err == nil && (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests) && runs > 0:
		return fmt.Sprintf("was refused with %d, ran %d times", a.status, runs)
	case a.took > 21*time.Second:
		return fmt.Sprintf("took %s", a.took)
	}
	return ""
}

func TestPromisesHoldWhateverUpstreamsDo(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := drawHistory(rt)
		for _, w := range h.play(t) {
			rt.Errorf("%s", w)
		}
	})
}
