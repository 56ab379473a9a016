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

func TestWhoIsLetIn(t *testing.T) {
	for _, tt := range []struct {
		name, target string
		header       []string
		later        time.Duration
		want         int
		retry        bool
	}{
		{"a known key", "/safe/x", []string{"Key: good"}, 0, 200, false},
		{"an unknown key", "/safe/x", []string{"Key: bad"}, 0, 401, false},
		{"no key", "/safe/x", []string{"A: b"}, 0, 401, false},
		{"no key on a public route", "/open/x", []string{"A: b"}, 0, 200, false},
		{"no route", "/other/x", []string{"Key: good"}, 0, 404, false},
		{"a bad header", "/safe/x", []string{"Key: good", "Wait-Ms: soon"}, 0, 400, false},
		{"a key just before its proof is too old", "/safe/x", []string{"Key: good"}, maxAge - 5*time.Millisecond, 200, false},
		{"a key that was proved too long ago", "/safe/x", []string{"Key: good"}, maxAge, 503, true},
		{"an unknown key then", "/safe/x", []string{"Key: new"}, maxAge, 503, true},
		{"a public route then", "/open/x", []string{"A: b"}, maxAge, 200, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBed(t, "u")
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

func TestAnAnswerIsPassedOnAsItIs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t, "u")
		b.servers["u"].set(func(c net.Conn, r *http.Request) bool {
			assert.Check(t, r.Header.Get("Customer") == "smolyan")
			assert.Check(t, r.Header.Get("Key") == "" && r.Header.Get("Instance") == "u")
			assert.Check(t, r.RequestURI == "/once/a%2F?q=%20")
			say(c, "HTTP/1.1 418 Teapot\r\nRequest-Id: 1\r\nSigned: yes\r\nX-A: b\r\nInternal: x\r\nContent-Length: 2\r\n\r\nno")
			return true
		})
		a := b.call("POST", "/once/a%2F?q=%20", "1")
		assert.Equal(t, a.status, 418)
		assert.Equal(t, a.body+a.header.Get("X-A")+a.header.Get("Signed"), "nobyes")
		assert.Equal(t, a.header.Get("Internal"), "")
	})
}

// TestWhatAnUpstreamMayDo runs one request against upstreams that all behave alike.
func TestWhatAnUpstreamMayDo(t *testing.T) {
	unsigned := func(c net.Conn, r *http.Request) bool {
		say(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 2\r\n\r\nno", r.Header.Get("Request-Id"))
		return true
	}
	encoded := func(c net.Conn, r *http.Request) bool {
		say(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSigned: yes\r\nContent-Encoding: br\r\nContent-Length: 2\r\n\r\nno", r.Header.Get("Request-Id"))
		return true
	}
	short := func(c net.Conn, r *http.Request) bool {
		say(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSigned: yes\r\nContent-Length: 9\r\n\r\nno", r.Header.Get("Request-Id"))
		return false
	}
	failing := func(c net.Conn, r *http.Request) bool {
		say(c, "HTTP/1.1 500 Bad\r\nRequest-Id: %s\r\nSigned: yes\r\nContent-Length: 3\r\n\r\nbad", r.Header.Get("Request-Id"))
		return true
	}
	for _, tt := range []struct {
		name, target string
		do           behaviour
		status       int
		outcome      string
		runs         int
	}{
		{"breaks off, repeatable", "/safe/x", breakOff, 502, "Unknown", 2},
		{"breaks off, not repeatable", "/once/x", breakOff, 502, "Unknown", 1},
		{"unsigned, repeatable", "/safe/x", unsigned, 502, "Unknown", 2},
		{"unsigned, not repeatable", "/once/x", unsigned, 502, "Unknown", 1},
		{"encoded", "/once/x", encoded, 502, "Unknown", 1},
		{"short", "/once/x", short, 502, "Unknown", 1},
		{"fails, repeatable", "/safe/x", failing, 500, "", 2},
		{"fails, not repeatable", "/once/x", failing, 500, "", 1},
		{"refuses, repeatable", "/safe/x", refuse, 503, "NotRun", 0},
		{"refuses, not repeatable", "/once/x", refuse, 503, "NotRun", 0},
		{"never answers", "/once/x", silent, 504, "Unknown", 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBed(t, "u", "v", "w")
				for _, name := range []string{"u", "v", "w"} {
					s := b.servers[name]
					do := tt.do
					if tt.outcome != "NotRun" {
						do = running(s, do)
					}
					s.set(do)
				}
				a := b.call("POST", tt.target, "1")
				assert.NilError(t, a.err)
				assert.Equal(t, a.status, tt.status)
				assert.Equal(t, a.header.Get("Outcome"), tt.outcome)
				runs := 0
				for _, s := range b.servers {
					runs += s.count()
				}
				assert.Equal(t, runs, tt.runs)
				if tt.status == 504 {
					assert.Assert(t, a.took >= 2*time.Second && a.took < 2100*time.Millisecond, "%s", a.took)
				}
			})
		})
	}
}

func TestOneGoodUpstreamIsEnough(t *testing.T) {
	for _, tt := range []struct {
		name, target string
		do           behaviour
	}{
		{"the others refuse", "/once/x", refuse},
		{"another breaks off", "/safe/x", breakOff},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBed(t, "u", "v")
				b.servers["u"].set(tt.do)
				for i := range 10 {
					id := string(rune('a' + i))
					a := b.call("POST", tt.target, id)
					assert.Equal(t, a.body, "answer to "+id)
				}
			})
		})
	}
}

func TestALostUpstreamIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t, "u")
		b.servers["u"].l.Close()
		a := b.call("POST", "/once/x", "1")
		assert.Equal(t, a.status, 503)
		assert.Equal(t, a.header.Get("Outcome"), "NotRun")
		assert.Assert(t, a.header.Get("Retry-After") != "")
	})
}

func TestLongAnswersArePassedOnAsTheyCome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t, "u")
		text := strings.Repeat("x", 3*wholeBytes)
		cut := false
		b.servers["u"].set(func(c net.Conn, r *http.Request) bool {
			say(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSigned: yes\r\nContent-Length: %d\r\n\r\n", r.Header.Get("Request-Id"), len(text))
			if cut {
				say(c, "%s", text[1:])
				return false
			}
			say(c, "%s", text)
			return true
		})
		a := b.call("GET", "/safe/x", "1")
		assert.NilError(t, a.err)
		assert.Assert(t, a.body == text)
		cut = true
		a = b.call("GET", "/safe/x", "2")
		assert.Assert(t, a.err != nil, "an answer that lacks a byte must not look whole")
	})
}

func TestTheUpstreamHearsThatTheCallerLeft(t *testing.T) {
	for _, target := range []string{"/once/x", "/events/x", "/gen/x"} {
		t.Run(target, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBed(t, "u")
				began := time.Now()
				ended := make(chan time.Duration, 1)
				for _, s := range b.servers {
					s.set(func(c net.Conn, _ *http.Request) bool {
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
				assert.Equal(t, len(ended), 0, "nothing is sent for a caller that left")
			})
		})
	}
}
