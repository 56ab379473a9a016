package ferryforward

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

const (
	signedHead   = "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nSigned: yes\r\n"
	chunkedHead  = signedHead + "Transfer-Encoding: chunked\r\n\r\n"
	unframedHead = signedHead + "\r\n"
)

// writes writes the parts of an answer and closes the connection.
func writes(parts ...string) handler {
	return func(c net.Conn, _ *http.Request) bool {
		for _, p := range parts {
			writef(c, "%s", p)
		}
		return false
	}
}

// chunk encodes a chunk of a body.
func chunk(s string) string {
	var b strings.Builder
	writeChunkTo(&b, s)
	return b.String()
}

// strayAnswers are answers of an upstream that are no stream, or not a whole one, after the first three events.
var strayAnswers = []struct {
	name   string
	handle handler
}{
	{"error status with a body", writes("HTTP/1.1 500 Bad\r\nRequest-Id: 1\r\nSigned: yes\r\nContent-Length: 16\r\n\r\ndata: an error\n\n")},
	{"error status without a length", writes("HTTP/1.1 500 Bad\r\nRequest-Id: 1\r\nSigned: yes\r\n\r\ndata: an error\n\n")},
	{"refusal", answerNotRun},
	{"refusal with a body", writes("HTTP/1.1 503 Full\r\nRequest-Id: 1\r\nNot-Run: 1\r\nContent-Length: 16\r\n\r\ndata: an error\n\n")},
	{"unsigned", writes("HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\n", eventText("1", 4))},
	{"no event stream", writes(signedHead + "Content-Type: text/html\r\nContent-Length: 18\r\n\r\ndata: <html>bad\n\n\n")},
	{"no content", writes("HTTP/1.1 204 No Content\r\nRequest-Id: 1\r\nSigned: yes\r\n\r\n")},
	{"text", writes(signedHead + "Content-Length: 16\r\n\r\ninternal error\n\n")},
	{"object", writes(signedHead + "Content-Length: 17\r\n\r\n{\"error\": \"bad\"}\n\n")},
	{"text that resembles a field", writes(signedHead + "Content-Length: 15\r\n\r\nerror: no luck\n\n")},
	{"no body", writes(signedHead + "Content-Length: 0\r\n\r\n")},
	{"no body in chunks", writes(chunkedHead, "0\r\n\r\n")},
	{"no body without a length", writes(unframedHead)},
	{"head inside a body without a length", writes(unframedHead, eventText("1", 4), "HTTP/1.1 500 Bad\r\nContent-Length: 7\r\n\r\nerror\n\n")},
	{"head inside a chunk", writes(chunkedHead, chunk(eventText("1", 4)), chunk("HTTP/1.1 500 Bad\r\nContent-Length: 7\r\n\r\nerror\n\n"), "0\r\n\r\n")},
	{"head inside an event", writes(unframedHead, "id: 4\nda", "HTTP/1.1 500 Bad\r\nContent-Length: 7\r\n\r\nerror\n\n")},
	{"head with blank lines inside a chunk", writes(chunkedHead, chunk("HTTP/1.1 500 Bad\nContent-Length: 7\n\nerror\n\n"), "0\r\n\r\n")},
	{"head in place of a chunk", writes(chunkedHead, chunk(eventText("1", 4)), "HTTP/1.1 500 Bad\r\nContent-Length: 7\r\n\r\nerror\n\n")},
	{"event without end", writes(chunkedHead, chunk("id: 4\ndata: half"), "0\r\n\r\n")},
	{"event without end or length", writes(unframedHead, "id: 4\ndata: half")},
	{"ids that go back", writes(chunkedHead, chunk(eventText("1", 4)+eventText("1", 5)+eventText("1", 3)+eventText("1", 6)+eventText("1", 5)))},
	{"event without an id", writes(chunkedHead, chunk(eventText("1", 4)+"data: stray\n\n"), "0\r\n\r\n")},
}

// TestBrokenStreamIsFollowedByItsEventsOnly has a stream break off in the middle of its fourth event, and every
// further run answer with something else. The caller must see whole events of its stream, in order, and no end.
func TestBrokenStreamIsFollowedByItsEventsOnly(t *testing.T) {
	for _, target := range []string{"/events/x", "/gen/x"} {
		for _, tt := range strayAnswers {
			t.Run(target+" "+tt.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newHarness(t, "u", "v")
					firstThen(b, func(c net.Conn, r *http.Request) bool { return streamEventsUpTo(c, r, 3, 9, time.Millisecond) }, tt.handle)
					a := b.call("POST", target, "1")
					assert.Assert(t, a.err != nil, "stream ended as complete after %q", a.body)
					assert.Assert(t, strings.HasPrefix(completeStream("1", 9), a.body), "%q", a.body)
					assert.Assert(t, strings.HasPrefix(a.body, completeStream("1", 3)), "%q", a.body)
				})
			})
		}
	}
}

// TestStreamBeginsWithItsEventsOnly has the first run of a stream answer in such a way. Where the route permits it,
// another run completes the stream; else the caller must see whole events, in order, and no end.
func TestStreamBeginsWithItsEventsOnly(t *testing.T) {
	for _, target := range []string{"/events/x", "/gen/x", "/live/x"} {
		for _, tt := range strayAnswers {
			t.Run(target+" "+tt.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newHarness(t, "u", "v")
					firstThen(b, tt.handle, streamEvents(9, time.Millisecond))
					a := b.call("POST", target, "1")
					complete := completeStream("1", 9)
					if a.status != http.StatusOK {
						assert.Equal(t, target, "/live/x")
						return
					}
					events := strings.TrimPrefix(complete, completeStream("1", 3))
					assert.Assert(t, strings.HasPrefix(complete, a.body) || strings.HasPrefix(events, a.body), "%q", a.body)
					if target != "/live/x" || tt.name == "refusal" || tt.name == "refusal with a body" {
						assert.NilError(t, a.err)
						assert.Assert(t, strings.HasSuffix(complete, a.body), "%q", a.body)
						return
					}
					assert.Assert(t, a.err != nil, "stream ended as complete after %q", a.body)
				})
			})
		}
	}
}

// TestStreamWithoutIDsIsNotResumed has a stream without ids break off once it has started: another run would begin with
// events that the caller has.
func TestStreamWithoutIDsIsNotResumed(t *testing.T) {
	const events = "data: a\n\ndata: b\n\n"
	for _, tt := range []struct {
		name string
		rest time.Duration
	}{{"closes", 0}, {"falls silent", 19 * time.Second}} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newHarness(t, "u", "v")
				firstThen(b, func(c net.Conn, _ *http.Request) bool {
					writef(c, "%s", chunkedHead+chunk(events))
					time.Sleep(tt.rest)
					return false
				}, writes(chunkedHead, chunk(events+"data: c\n\n"), "0\r\n\r\n"))
				a := b.call("POST", "/events/x", "1")
				assert.Assert(t, a.err != nil, "%q", a.body)
				assert.Equal(t, a.body, events)
				assert.Equal(t, b.upstreams["u"].runCount()+b.upstreams["v"].runCount(), 1)
			})
		})
	}
}

// TestRunWithoutEventsMayCompleteTheStream has the next run of a broken stream answer with no event and a proper end.
// That completes the stream unless the earlier run had begun to write more.
func TestRunWithoutEventsMayCompleteTheStream(t *testing.T) {
	for _, tt := range []struct {
		name, first string
		complete    bool
	}{
		{"broken between two events", chunk(completeStream("1", 3)), true},
		{"broken inside an event", chunk(completeStream("1", 3) + "id"), false},
		{"ended inside an event", chunk(completeStream("1", 3)+"id") + "0\r\n\r\n", false},
		{"ended with bytes that are no event", chunk(completeStream("1", 3)+"error\n\n") + "0\r\n\r\n", false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newHarness(t, "u", "v")
				firstThen(b, writes(chunkedHead, tt.first), func(c net.Conn, _ *http.Request) bool {
					writef(c, "%s0\r\n\r\n", chunkedHead)
					return true
				})
				a := b.call("POST", "/events/x", "1")
				assert.Equal(t, a.err == nil, tt.complete, "%v", a.err)
				assert.Equal(t, a.body, completeStream("1", 3))
				a = b.call("POST", "/events/x", "1", "Key: good", "Last-Event-Id: 3")
				assert.NilError(t, a.err)
				assert.Equal(t, a.body, "")
			})
		})
	}
}
