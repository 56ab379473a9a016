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

// startServer starts a server in the bubble of the test and returns it with a function that connects to it.
func startServer(t *testing.T, cfg Config) (*Server, func() net.Conn) {
	t.Helper()
	cfg.Log = zerolog.Nop()
	s := NewServer(cfg)
	l := ferrynettest.Listen()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() {
		cancel()
		l.Close()
		s.Stop()
		time.Sleep(2 * lingerTime) // lets the goroutines of the connections end
	})
	go func() { _ = s.Serve(ctx, l) }()
	return s, func() net.Conn {
		c, err := ferrynettest.Dial(t.Context(), "tcp", l.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { c.Close() })
		return c
	}
}

// echoHandler answers with the parts of the request.
func echoHandler(_ context.Context, c *Call) {
	_ = c.Answer(http.StatusOK, http.Header{"X-Method": {c.Method}, "X-Target": {c.Target}, "X-Host": {c.Host}}, c.Body)
}

func writeString(t *testing.T, c net.Conn, s string) {
	t.Helper()
	_, err := io.WriteString(c, s)
	assert.NilError(t, err)
}

func readAnswer(t *testing.T, br *bufio.Reader) (*http.Response, string) {
	t.Helper()
	w, err := http.ReadResponse(br, nil)
	assert.NilError(t, err)
	b, err := io.ReadAll(w.Body)
	assert.NilError(t, err)
	return w, string(b)
}

func TestRequestDecoding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, dial := startServer(t, Config{Handle: echoHandler})
		c := dial()
		br := bufio.NewReader(c)
		writeString(t, c, "POST /a%2Fb?q=1&q=%20 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcGET /next HTTP/1.1\r\nHost: h2\r\n\r\n")
		w, body := readAnswer(t, br)
		assert.Equal(t, w.Header.Get("X-Target"), "/a%2Fb?q=1&q=%20")
		assert.Equal(t, body, "abc")
		w, body = readAnswer(t, br)
		assert.Equal(t, w.Header.Get("X-Target")+w.Header.Get("X-Host")+body, "/nexth2")
		writeString(t, c, "PUT / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: 1\r\n\r\n")
		_, body = readAnswer(t, br)
		assert.Equal(t, body, "abcde")
		writeString(t, c, "GET / HTTP/1.0\r\n\r\n")
		w, _ = readAnswer(t, br)
		assert.Assert(t, w.Close, "HTTP/1.0 answer without Connection: close")
	})
}

func TestInvalidRequestsAreRefused(t *testing.T) {
	long := strings.Repeat("a", 600)
	for _, tt := range []struct {
		name, request string
		want          int
	}{
		{"two framings", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		{"two lengths", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc", 400},
		{"invalid length", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\nabc", 400},
		{"negative length", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -3\r\n\r\nabc", 400},
		{"length beyond 64 bits", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999999999999\r\n\r\nabc", 400},
		{"greatest length", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4611686018427387903\r\n\r\nabc", 413},
		{"chunk size beyond 64 bits", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n10000000000000003\r\nabc\r\n0\r\n\r\n", 400},
		{"negative chunk size", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n-3\r\nabc\r\n0\r\n\r\n", 400},
		{"unsupported transfer coding", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", 501},
		{"no host", "GET / HTTP/1.1\r\n\r\n", 400},
		{"two hosts", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400},
		{"absolute URL as target", "GET http://h/ HTTP/1.1\r\nHost: h\r\n\r\n", 400},
		{"invalid request line", "nonsense\r\n\r\n", 400},
		{"HTTP/2", "GET / HTTP/2.0\r\nHost: h\r\n\r\n", 505},
		{"header without colon", "GET / HTTP/1.1\r\nHost h\r\n\r\n", 400},
		{"space before the colon", "GET / HTTP/1.1\r\nHost: h\r\nA : b\r\n\r\n", 400},
		{"header above the limit", "GET / HTTP/1.1\r\nHost: h\r\nA: " + long + "\r\n\r\n", 431},
		{"body above the limit", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n", 413},
		{"chunked body above the limit", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n41\r\n" + long[:65] + "\r\n0\r\n\r\n", 413},
		{"invalid chunk", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400},
		{"incomplete header", "GET / HTTP/1.1\r\nHos", 408},
		{"incomplete body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc", 408},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				handled := false
				_, dial := startServer(t, Config{
					Handle: func(context.Context, *Call) { handled = true },
					Limits: func() Limits {
						return Limits{HeaderBytes: 512, BodyBytes: 64, HeaderTimeout: time.Second, BodyTimeout: time.Second}
					},
				})
				c := dial()
				writeString(t, c, tt.request)
				br := bufio.NewReader(c)
				w, _ := readAnswer(t, br)
				assert.Equal(t, w.StatusCode, tt.want)
				assert.Assert(t, w.Close)
				assert.Assert(t, !handled)
				_, err := br.ReadByte()
				assert.ErrorIs(t, err, io.EOF)
			})
		})
	}
}

func TestIncompleteAnswerIsNotTerminated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, dial := startServer(t, Config{Handle: func(_ context.Context, c *Call) {
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
			writeString(t, c, "GET "+tt.target+" HTTP/1.1\r\nHost: h\r\n\r\n")
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

// TestIncompleteAnswerWithoutChunksIsReset has callers over real sockets whose answers end with their connection.
func TestIncompleteAnswerWithoutChunksIsReset(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	sent := make(chan struct{})
	s := NewServer(Config{Log: zerolog.Nop(), Handle: func(_ context.Context, c *Call) {
		s, err := c.Stream(http.StatusOK, http.Header{})
		assert.Check(t, err)
		_, err = s.Write([]byte("part"))
		assert.Check(t, err)
		<-sent
		if c.Target == "/whole" {
			assert.Check(t, s.End())
		}
	}})
	defer s.Stop()
	go func() { _ = s.Serve(t.Context(), l) }()
	for _, target := range []string{"/whole", "/broken"} {
		c, err := net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		defer c.Close()
		writeString(t, c, "GET "+target+" HTTP/1.0\r\nHost: h\r\n\r\n")
		w, err := http.ReadResponse(bufio.NewReader(c), nil)
		assert.NilError(t, err)
		_, err = io.ReadFull(w.Body, make([]byte, 4))
		assert.NilError(t, err)
		sent <- struct{}{}
		_, err = io.ReadAll(w.Body)
		assert.Equal(t, err != nil, target == "/broken", "%s: %v", target, err)
	}
}

func TestCallerDisconnectCancelsCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended := make(chan error, 1)
		_, dial := startServer(t, Config{Handle: func(ctx context.Context, _ *Call) {
			<-ctx.Done()
			ended <- context.Cause(ctx)
		}})
		c := dial()
		writeString(t, c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		synctest.Wait()
		c.Close()
		assert.ErrorIs(t, <-ended, ErrCallerDisconnected)
	})
}

func TestPlannedStopAnswersReadRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		s, dial := startServer(t, Config{Handle: func(ctx context.Context, c *Call) {
			if c.Target == "/slow" {
				<-release
			}
			echoHandler(ctx, c)
		}})
		idle, busy := dial(), dial()
		idleReader, busyReader := bufio.NewReader(idle), bufio.NewReader(busy)
		writeString(t, idle, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		readAnswer(t, idleReader)
		writeString(t, busy, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
		synctest.Wait()
		s.Stop()
		_, err := idleReader.ReadByte()
		assert.ErrorIs(t, err, io.EOF, "idle connection not closed at once")
		close(release)
		w, _ := readAnswer(t, busyReader)
		assert.Equal(t, w.StatusCode, 200)
		assert.Assert(t, w.Close, "answer during the stop without Connection: close")
		late := dial()
		writeString(t, late, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		w, _ = readAnswer(t, bufio.NewReader(late))
		assert.Assert(t, w.Close, "connection accepted during the stop is not closed after its first answer")
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		late.Close()
		assert.NilError(t, s.Wait(ctx))
	})
}

// TestCallerIsToldThatItsConnectionCloses stops the server while a call is handled, which took its request before.
func TestCallerIsToldThatItsConnectionCloses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, dial := startServer(t, Config{Handle: func(ctx context.Context, c *Call) {
			time.Sleep(time.Second)
			echoHandler(ctx, c)
		}})
		c := dial()
		writeString(t, c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		time.Sleep(500 * time.Millisecond)
		s.Stop()
		w, _ := readAnswer(t, bufio.NewReader(c))
		assert.Assert(t, w.Close)
	})
}

// TestRequestThatFollowsAStreamIsAnswered stops the server while a stream is open and sends the next request at its end.
func TestRequestThatFollowsAStreamIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, dial := startServer(t, Config{Handle: func(ctx context.Context, c *Call) {
			if c.Target == "/next" {
				echoHandler(ctx, c)
				return
			}
			w, err := c.Stream(http.StatusOK, http.Header{})
			assert.NilError(t, err)
			time.Sleep(time.Second)
			assert.NilError(t, w.End())
		}})
		c := dial()
		br := bufio.NewReader(c)
		writeString(t, c, "GET /stream HTTP/1.1\r\nHost: h\r\n\r\n")
		time.Sleep(500 * time.Millisecond)
		s.Stop()
		readAnswer(t, br)
		writeString(t, c, "GET /next HTTP/1.1\r\nHost: h\r\n\r\n")
		w, _ := readAnswer(t, br)
		assert.Equal(t, w.Header.Get("X-Target"), "/next")
		assert.Assert(t, w.Close)
	})
}

// TestRequestThatCrossesTheStopIsAnswered sends requests on idle connections just before the server stops and just after.
func TestRequestThatCrossesTheStopIsAnswered(t *testing.T) {
	for _, after := range []time.Duration{0, 10 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, dial := startServer(t, Config{Handle: echoHandler})
				var conns []net.Conn
				for range 50 {
					c := dial()
					writeString(t, c, "GET /first HTTP/1.1\r\nHost: h\r\n\r\n")
					readAnswer(t, bufio.NewReader(c))
					conns = append(conns, c)
				}
				synctest.Wait()
				send := func() {
					for _, c := range conns {
						writeString(t, c, "GET /second HTTP/1.1\r\nHost: h\r\n\r\n")
					}
				}
				if after == 0 {
					send()
					s.Stop()
				} else {
					s.Stop()
					time.Sleep(after)
					send()
				}
				for _, c := range conns {
					w, _ := readAnswer(t, bufio.NewReader(c))
					assert.Equal(t, w.Header.Get("X-Target"), "/second")
					assert.Assert(t, w.Close)
				}
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				assert.NilError(t, s.Wait(ctx))
			})
		})
	}
}

func TestIdleTimeoutFollowsLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var idle atomic.Int64
		idle.Store(int64(10 * time.Second))
		_, dial := startServer(t, Config{Handle: echoHandler, Limits: func() Limits { return Limits{IdleTimeout: time.Duration(idle.Load())} }})
		c := dial()
		br := bufio.NewReader(c)
		writeString(t, c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		readAnswer(t, br)
		time.Sleep(8 * time.Second)
		idle.Store(int64(2 * time.Second))
		writeString(t, c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		readAnswer(t, br)
		began := time.Now()
		_, err := br.ReadByte()
		assert.Assert(t, errors.Is(err, io.EOF))
		took := time.Since(began)
		assert.Assert(t, took > 1900*time.Millisecond && took < 2100*time.Millisecond, "%s", took)
	})
}

func TestExpectContinue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, dial := startServer(t, Config{Handle: echoHandler})
		c := dial()
		br := bufio.NewReader(c)
		writeString(t, c, "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
		line, err := br.ReadString('\n')
		assert.NilError(t, err)
		assert.Equal(t, line, "HTTP/1.1 100 Continue\r\n")
		_, err = br.ReadString('\n')
		assert.NilError(t, err)
		writeString(t, c, "ab")
		_, body := readAnswer(t, br)
		assert.Equal(t, body, "ab")
	})
}

// TestPanicClosesOneConnection has the handler of one connection panic, before and within its answer.
func TestPanicClosesOneConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := ferrynettest.Listen()
		s := NewServer(Config{Log: zerolog.Nop(), Handle: func(_ context.Context, c *Call) {
			if c.Target == "/streamed" {
				w, err := c.Stream(200, http.Header{})
				assert.NilError(t, err)
				_, _ = w.Write([]byte("part"))
			}
			if c.Target != "/good" {
				panic("unexpected request")
			}
			_ = c.Answer(200, http.Header{}, []byte("fine"))
		}})
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = s.Serve(ctx, l) }()
		get := func(target string) (string, error) {
			c, err := ferrynettest.Dial(t.Context(), "tcp", l.Addr().String())
			assert.NilError(t, err)
			defer c.Close()
			_, err = io.WriteString(c, "GET "+target+" HTTP/1.1\r\nHost: h\r\n\r\n")
			assert.NilError(t, err)
			w, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				return "", err
			}
			b, err := io.ReadAll(w.Body)
			return string(b), err
		}
		for _, target := range []string{"/bad", "/streamed"} {
			_, err := get(target)
			assert.Assert(t, err != nil, "%s: incomplete answer looks complete", target)
			body, err := get("/good")
			assert.NilError(t, err)
			assert.Equal(t, body, "fine")
		}
		cancel()
		l.Close()
		s.Stop()
		time.Sleep(time.Minute)
	})
}

// TestBodyWithLongChunkFramingIsAnswered sends bodies within the limit in small chunks, and too long framing.
func TestBodyWithLongChunkFramingIsAnswered(t *testing.T) {
	for _, tt := range []struct {
		name, chunk, trailer string
		want                 int
	}{
		{"chunks of one byte", "1\r\na\r\n", "", http.StatusOK},
		{"chunk extensions", "1;x=" + strings.Repeat("y", 100) + "\r\na\r\n", "", http.StatusBadRequest},
		{"trailer", "1\r\na\r\n", "A: b\r\n", http.StatusOK},
		{"long trailer", "1\r\na\r\n", "A: " + strings.Repeat("y", 10000) + "\r\n", http.StatusRequestHeaderFieldsTooLarge},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, dial := startServer(t, Config{Handle: echoHandler, Limits: func() Limits { return Limits{HeaderBytes: 512, BodyBytes: 2000} }})
				c := dial()
				writeString(t, c, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"+strings.Repeat(tt.chunk, 2000)+"0\r\n"+tt.trailer+"\r\n")
				w, _ := readAnswer(t, bufio.NewReader(c))
				assert.Equal(t, w.StatusCode, tt.want)
			})
		})
	}
}

// TestEndedServerDropsAnswersThatNobodyReads has a caller over a real socket that reads nothing of a long answer.
func TestEndedServerDropsAnswersThatNobodyReads(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	writing := make(chan struct{})
	s := NewServer(Config{Log: zerolog.Nop(), Handle: func(_ context.Context, c *Call) {
		close(writing)
		_ = c.Answer(http.StatusOK, http.Header{}, make([]byte, 64<<20))
	}})
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _ = s.Serve(ctx, l) }()
	c, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	writeString(t, c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	<-writing
	cancel()
	s.Stop()
	limit, done := context.WithTimeout(t.Context(), writeTimeout/2)
	defer done()
	assert.NilError(t, s.Wait(limit))
}
