package ferryforward

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryconfig"
)

func TestAdmission(t *testing.T) {
	for _, tt := range []struct {
		name, target string
		header       []string
		later        time.Duration
		want         int
		retry        bool
	}{
		{"known key", "/safe/x", []string{"Key: good"}, 0, 200, false},
		{"unknown key", "/safe/x", []string{"Key: bad"}, 0, 401, false},
		{"no key", "/safe/x", []string{"A: b"}, 0, 401, false},
		{"public route without key", "/open/x", []string{"A: b"}, 0, 200, false},
		{"no route", "/other/x", []string{"Key: good"}, 0, 404, false},
		{"invalid header", "/safe/x", []string{"Key: good", "Wait-Ms: soon"}, 0, 400, false},
		{"configuration proof just below MaxProofAge", "/safe/x", []string{"Key: good"}, testMaxProofAge - 5*time.Millisecond, 200, false},
		{"configuration proof at MaxProofAge", "/safe/x", []string{"Key: good"}, testMaxProofAge, 503, true},
		{"unknown key at MaxProofAge", "/safe/x", []string{"Key: new"}, testMaxProofAge, 503, true},
		{"public route at MaxProofAge", "/open/x", []string{"A: b"}, testMaxProofAge, 200, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newHarness(t, "u")
				time.Sleep(tt.later)
				a := b.call("GET", tt.target, "1", tt.header...)
				assert.Equal(t, a.status, tt.want)
				assert.Equal(t, a.header.Get("Retry-After") != "", tt.retry)
				assert.Equal(t, a.header.Get("Request-Id"), "1")
				if tt.want != 200 {
					assert.Equal(t, a.header.Get("Outcome"), "NotRun")
				}
			})
		})
	}
}

// TestAdmissionWithoutCustomers guards against requests with revoked or unknown keys that are let through since no customer
// is left, and against refusals where no keys are asked for.
func TestAdmissionWithoutCustomers(t *testing.T) {
	for _, tt := range []struct {
		name, target, key string
		keyed             bool
		later             time.Duration
		want              int
	}{
		{"revoked key", "/safe/x", "good", true, 0, 401},
		{"key that never existed", "/safe/x", "bad", true, 0, 401},
		{"no key", "/safe/x", "", true, 0, 401},
		{"revoked key of a call that runs once", "/once/x", "good", true, 0, 401},
		{"revoked key of a stream", "/gen/x", "good", true, 0, 401},
		{"public route", "/open/x", "", true, 0, 200},
		{"revoked key with an old proof", "/safe/x", "good", true, testMaxProofAge, 503},
		{"no keys are asked for", "/safe/x", "", false, 0, 200},
		{"no keys are asked for, old proof", "/safe/x", "", false, testMaxProofAge, 200},
		{"key that nobody has where none are asked for", "/safe/x", "good", false, 0, 401},
		{"key that nobody has where none are asked for, old proof", "/safe/x", "good", false, testMaxProofAge, 503},
		{"public route where none are asked for", "/open/x", "good", false, 0, 200},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newHarness(t, "u")
				cfg := configuration()
				cfg.Version, cfg.Customers, cfg.Keyed = 2, nil, tt.keyed
				s, err := ferryconfig.NewSnapshot(cfg)
				assert.NilError(t, err)
				b.holder.Offer(s)
				b.holder.Prove(2, b.clock.Now())
				time.Sleep(tt.later)
				header := "A: b"
				if tt.key != "" {
					header = "Key: " + tt.key
				}
				assert.Equal(t, b.call("GET", tt.target, "1", header).status, tt.want)
			})
		})
	}
}

func TestAnswerIsForwardedUnchanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, "u")
		b.upstreams["u"].setHandler(func(c net.Conn, r *http.Request) bool {
			assert.Check(t, r.Header.Get("Customer") == "smolyan")
			assert.Check(t, r.Header.Get("Key") == "" && r.Header.Get("Instance") == "u")
			assert.Check(t, r.RequestURI == "/once/a%2F?q=%20")
			writef(c, "HTTP/1.1 418 Teapot\r\nRequest-Id: 1\r\nSigned: yes\r\nX-A: b\r\nInternal: x\r\nContent-Length: 2\r\n\r\nno")
			return true
		})
		a := b.call("POST", "/once/a%2F?q=%20", "1")
		assert.Equal(t, a.status, 418)
		assert.Equal(t, a.body+a.header.Get("X-A")+a.header.Get("Signed"), "nobyes")
		assert.Equal(t, a.header.Get("Internal"), "")
	})
}

// TestUpstreamFailures sends one request to upstreams that all fail in the same way.
func TestUpstreamFailures(t *testing.T) {
	unsigned := func(c net.Conn, r *http.Request) bool {
		writef(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 2\r\n\r\nno", r.Header.Get("Request-Id"))
		return true
	}
	encoded := func(c net.Conn, r *http.Request) bool {
		writef(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSigned: yes\r\nContent-Encoding: br\r\nContent-Length: 2\r\n\r\nno", r.Header.Get("Request-Id"))
		return true
	}
	short := func(c net.Conn, r *http.Request) bool {
		writef(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSigned: yes\r\nContent-Length: 9\r\n\r\nno", r.Header.Get("Request-Id"))
		return false
	}
	failing := func(c net.Conn, r *http.Request) bool {
		writef(c, "HTTP/1.1 500 Bad\r\nRequest-Id: %s\r\nSigned: yes\r\nContent-Length: 3\r\n\r\nbad", r.Header.Get("Request-Id"))
		return true
	}
	for _, tt := range []struct {
		name, target string
		do           handler
		status       int
		outcome      string
		runs         int
	}{
		{"closes unanswered, repeatable", "/safe/x", closeUnanswered, 502, "Unknown", 2},
		{"closes unanswered, not repeatable", "/once/x", closeUnanswered, 502, "Unknown", 1},
		{"unsigned, repeatable", "/safe/x", unsigned, 502, "Unknown", 2},
		{"unsigned, not repeatable", "/once/x", unsigned, 502, "Unknown", 1},
		{"content encoding", "/once/x", encoded, 502, "Unknown", 1},
		{"truncated body", "/once/x", short, 502, "Unknown", 1},
		{"status 500, repeatable", "/safe/x", failing, 500, "", 2},
		{"status 500, not repeatable", "/once/x", failing, 500, "", 1},
		{"answers not run, repeatable", "/safe/x", answerNotRun, 503, "NotRun", 0},
		{"answers not run, not repeatable", "/once/x", answerNotRun, 503, "NotRun", 0},
		{"does not answer", "/once/x", neverAnswer, 504, "Unknown", 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newHarness(t, "u", "v", "w")
				for _, name := range []string{"u", "v", "w"} {
					s := b.upstreams[name]
					do := tt.do
					if tt.outcome != "NotRun" {
						do = countRuns(s, do)
					}
					s.setHandler(do)
				}
				a := b.call("POST", tt.target, "1")
				assert.NilError(t, a.err)
				assert.Equal(t, a.status, tt.status)
				assert.Equal(t, a.header.Get("Outcome"), tt.outcome)
				runs := 0
				for _, s := range b.upstreams {
					runs += s.runCount()
				}
				assert.Equal(t, runs, tt.runs)
				if tt.status == 504 {
					assert.Assert(t, a.took >= 2*time.Second && a.took < 2100*time.Millisecond, "%s", a.took)
				}
			})
		})
	}
}

func TestFailoverToAnotherUpstream(t *testing.T) {
	for _, tt := range []struct {
		name, target string
		do           handler
	}{
		{"first upstream answers not run", "/once/x", answerNotRun},
		{"first upstream closes unanswered", "/safe/x", closeUnanswered},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newHarness(t, "u", "v")
				b.upstreams["u"].setHandler(tt.do)
				for i := range 10 {
					id := string(rune('a' + i))
					a := b.call("POST", tt.target, id)
					assert.Equal(t, a.body, "answer to "+id)
				}
			})
		})
	}
}

func TestUnreachableUpstreamAnswersNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, "u")
		b.upstreams["u"].l.Close()
		a := b.call("POST", "/once/x", "1")
		assert.Equal(t, a.status, 503)
		assert.Equal(t, a.header.Get("Outcome"), "NotRun")
		assert.Assert(t, a.header.Get("Retry-After") != "")
	})
}

func TestLongAnswersAreStreamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, "u")
		text := strings.Repeat("x", 3*maxBufferedBytes)
		cut := false
		b.upstreams["u"].setHandler(func(c net.Conn, r *http.Request) bool {
			writef(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSigned: yes\r\nContent-Length: %d\r\n\r\n", r.Header.Get("Request-Id"), len(text))
			if cut {
				writef(c, "%s", text[1:])
				return false
			}
			writef(c, "%s", text)
			return true
		})
		a := b.call("GET", "/safe/x", "1")
		assert.NilError(t, a.err)
		assert.Assert(t, a.body == text)
		cut = true
		a = b.call("GET", "/safe/x", "2")
		assert.Assert(t, a.err != nil, "an answer that lacks its last byte was delivered as complete")
	})
}

func TestCallerDisconnectReachesUpstream(t *testing.T) {
	for _, target := range []string{"/once/x", "/events/x", "/gen/x"} {
		t.Run(target, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newHarness(t, "u")
				began := time.Now()
				ended := make(chan time.Duration, 1)
				for _, s := range b.upstreams {
					s.setHandler(func(c net.Conn, _ *http.Request) bool {
						_, _ = c.Read(make([]byte, 1))
						ended <- time.Since(began)
						return false
					})
				}
				c := b.dial()
				go b.callOn(c, "POST", target, "1")
				time.Sleep(100 * time.Millisecond)
				c.Close()
				took := <-ended
				assert.Assert(t, took < 120*time.Millisecond, "%s", took)
				time.Sleep(5 * time.Second)
				assert.Equal(t, len(ended), 0, "request retried after its caller disconnected")
			})
		})
	}
}
