package ferryingress

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferrynettest"
)

// start serves in the bubble of the test and returns a way to connect.
func start(t *testing.T, cfg Config) (*Server, func() net.Conn) {
	t.Helper()
	cfg.Log = zerolog.Nop()
	s := NewServer(cfg)
	l := ferrynettest.Listen()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() {
		cancel()
		l.Close()
		s.Stop()
		time.Sleep(2 * lingerTime) // the connections' goroutines end meanwhile
	})
	go func() { _ = s.Serve(ctx, l) }()
	return s, func() net.Conn {
		c, err := ferrynettest.Dial(t.Context(), "tcp", l.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { c.Close() })
		return c
	}
}

// echoed answers with what was read.
func echoed(_ context.Context, c *Call) {
	_ = c.Answer(http.StatusOK, http.Header{"X-Method": {c.Method}, "X-Target": {c.Target}, "X-Host": {c.Host}}, c.Body)
}

func say(t *testing.T, c net.Conn, s string) {
	t.Helper()
	_, err := io.WriteString(c, s)
	assert.NilError(t, err)
}

func hear(t *testing.T, br *bufio.Reader) (*http.Response, string) {
	t.Helper()
	w, err := http.ReadResponse(br, nil)
	assert.NilError(t, err)
	b, err := io.ReadAll(w.Body)
	assert.NilError(t, err)
	return w, string(b)
}

func TestRequestsAreReadAsTheyWereSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, dial := start(t, Config{Handle: echoed})
		c := dial()
		br := bufio.NewReader(c)
		say(t, c, "POST /a%2Fb?q=1&q=%20 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcGET /next HTTP/1.1\r\nHost: h2\r\n\r\n")
		w, body := hear(t, br)
		assert.Equal(t, w.Header.Get("X-Target"), "/a%2Fb?q=1&q=%20")
		assert.Equal(t, body, "abc")
		w, body = hear(t, br)
		assert.Equal(t, w.Header.Get("X-Target")+w.Header.Get("X-Host")+body, "/nexth2")
		say(t, c, "PUT / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: 1\r\n\r\n")
		_, body = hear(t, br)
		assert.Equal(t, body, "abcde")
		say(t, c, "GET / HTTP/1.0\r\n\r\n")
		w, _ = hear(t, br)
		assert.Assert(t, w.Close, "HTTP/1.0 ends with its connection")
	})
}

func TestWhatCannotBeReadIsRefusedAndEndsTheConnection(t *testing.T) {
	long := strings.Repeat("a", 600)
	for _, tt := range []struct {
		name, request string
		want          int
	}{
		{"two framings", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		{"two lengths", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc", 400},
		{"a bad length", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\nabc", 400},
		{"another coding", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", 501},
		{"no host", "GET / HTTP/1.1\r\n\r\n", 400},
		{"two hosts", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400},
		{"a full URL", "GET http://h/ HTTP/1.1\r\nHost: h\r\n\r\n", 400},
		{"no request line", "nonsense\r\n\r\n", 400},
		{"HTTP/2", "GET / HTTP/2.0\r\nHost: h\r\n\r\n", 505},
		{"a header without a colon", "GET / HTTP/1.1\r\nHost h\r\n\r\n", 400},
		{"a space before the colon", "GET / HTTP/1.1\r\nHost: h\r\nA : b\r\n\r\n", 400},
		{"a long header", "GET / HTTP/1.1\r\nHost: h\r\nA: " + long + "\r\n\r\n", 431},
		{"a long body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n", 413},
		{"a long body in chunks", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n41\r\n" + long[:65] + "\r\n0\r\n\r\n", 413},
		{"a bad chunk", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400},
		{"a header that stops", "GET / HTTP/1.1\r\nHos", 408},
		{"a body that stops", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc", 408},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				handled := false
				_, dial := start(t, Config{
					Handle: func(context.Context, *Call) { handled = true },
					Limits: func() Limits {
						return Limits{HeaderBytes: 512, BodyBytes: 64, HeaderTimeout: time.Second, BodyTimeout: time.Second}
					},
				})
				c := dial()
				say(t, c, tt.request)
				br := bufio.NewReader(c)
				w, _ := hear(t, br)
				assert.Equal(t, w.StatusCode, tt.want)
				assert.Assert(t, w.Close)
				assert.Assert(t, !handled)
				_, err := br.ReadByte()
				assert.ErrorIs(t, err, io.EOF)
			})
		})
	}
}

func TestAnAnswerThatEndsEarlyDoesNotLookWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, dial := start(t, Config{Handle: func(_ context.Context, c *Call) {
			s, err := c.Stream(http.StatusOK, http.Header{})
			assert.NilError(t, err)
			_, err = s.Write([]byte("part"))
			assert.NilError(t, err)
			if c.Target == "/whole" {
				assert.NilError(t, s.End())
			}
		}})
		for _, tt := range []struct{ target, want string }{{"/whole", "part"}, {"/broken", "part unexpected EOF"}} {
			c := dial()
			say(t, c, "GET "+tt.target+" HTTP/1.1\r\nHost: h\r\n\r\n")
			w, err := http.ReadResponse(bufio.NewReader(c), nil)
			assert.NilError(t, err)
			b, err := io.ReadAll(w.Body)
			got := string(b)
			if err != nil {
				got += " " + err.Error()
			}
			assert.Equal(t, got, tt.want)
		}
	})
}

func TestTheCallEndsWithItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended := make(chan error, 1)
		_, dial := start(t, Config{Handle: func(ctx context.Context, _ *Call) {
			<-ctx.Done()
			ended <- context.Cause(ctx)
		}})
		c := dial()
		say(t, c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		synctest.Wait()
		c.Close()
		assert.ErrorIs(t, <-ended, ErrCallerLeft)
	})
}

func TestAPlannedStopAnswersWhatWasRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		s, dial := start(t, Config{Handle: func(ctx context.Context, c *Call) {
			if c.Target == "/slow" {
				<-release
			}
			echoed(ctx, c)
		}})
		idle, busy := dial(), dial()
		idleReader, busyReader := bufio.NewReader(idle), bufio.NewReader(busy)
		say(t, idle, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		hear(t, idleReader)
		say(t, busy, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
		synctest.Wait()
		s.Stop()
		_, err := idleReader.ReadByte()
		assert.ErrorIs(t, err, io.EOF, "an idle connection ends at once")
		close(release)
		w, _ := hear(t, busyReader)
		assert.Equal(t, w.StatusCode, 200)
		assert.Assert(t, w.Close, "the answer says that the connection ends")
		late := dial()
		say(t, late, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		w, _ = hear(t, bufio.NewReader(late))
		assert.Assert(t, w.Close, "who comes still is served, once")
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		late.Close()
		assert.NilError(t, s.Wait(ctx))
	})
}

func TestIdleConnectionsEndByTheLimitInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var idle atomic.Int64
		idle.Store(int64(10 * time.Second))
		_, dial := start(t, Config{Handle: echoed, Limits: func() Limits { return Limits{IdleTimeout: time.Duration(idle.Load())} }})
		c := dial()
		br := bufio.NewReader(c)
		say(t, c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		hear(t, br)
		time.Sleep(8 * time.Second)
		idle.Store(int64(2 * time.Second))
		say(t, c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		hear(t, br)
		began := time.Now()
		_, err := br.ReadByte()
		assert.Assert(t, errors.Is(err, io.EOF))
		took := time.Since(began)
		assert.Assert(t, took > 1900*time.Millisecond && took < 2100*time.Millisecond, "%s", took)
	})
}

func TestExpectationsAreMet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, dial := start(t, Config{Handle: echoed})
		c := dial()
		br := bufio.NewReader(c)
		say(t, c, "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
		line, err := br.ReadString('\n')
		assert.NilError(t, err)
		assert.Equal(t, line, "HTTP/1.1 100 Continue\r\n")
		_, err = br.ReadString('\n')
		assert.NilError(t, err)
		say(t, c, "ab")
		_, body := hear(t, br)
		assert.Equal(t, body, "ab")
	})
}
