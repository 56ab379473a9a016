package ferryexchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferrynettest"
	"cactusferry.dev/ferry/ferryoutcome"
)

const echo = "Request-Id"

// upstream accepts connections and hands each to f with its number.
func upstream(t *testing.T, f func(n int, c net.Conn, br *bufio.Reader)) string {
	t.Helper()
	l := ferrynettest.Listen()
	t.Cleanup(func() {
		l.Close()
		time.Sleep(time.Second) // the connections' goroutines end meanwhile
	})
	go func() {
		for n := 1; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				f(n, c, bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String()
}

// readOne reads a request with its body and reports whether there was one.
func readOne(br *bufio.Reader) bool {
	r, err := http.ReadRequest(br)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, r.Body)
	return err == nil
}

func write(c net.Conn, s string) { _, _ = io.WriteString(c, s) }

func client(t *testing.T) *Client {
	c := New(Config{Dial: ferrynettest.Dial})
	t.Cleanup(c.Close)
	return c
}

func post(id string) *Request {
	return &Request{Method: "POST", Target: "/x?a=%2F", Host: "h", Header: http.Header{echo: {id}}, Body: []byte("body"), Echo: echo}
}

// result is what came of an exchange, in one line.
func result(t *testing.T, c *Client, address string, r *Request) string {
	t.Helper()
	a, err := c.Do(t.Context(), address, r)
	var e *Error
	if errors.As(err, &e) {
		return "error " + string(e.Outcome())
	}
	defer a.Close()
	b, err := io.ReadAll(a)
	if err != nil {
		return "broken after " + string(b)
	}
	return "whole " + string(b)
}

func TestWhatIsKnownAtEveryCut(t *testing.T) {
	for _, tt := range []struct {
		name string
		f    func(c net.Conn, br *bufio.Reader)
		want string
	}{
		{"before a byte of the answer", func(_ net.Conn, br *bufio.Reader) { readOne(br) }, "error Unknown"},
		{"in the header", func(c net.Conn, br *bufio.Reader) { readOne(br); write(c, "HTTP/1.1 200 OK\r\nConte") }, "error Unknown"},
		{"in the body", func(c net.Conn, br *bufio.Reader) {
			readOne(br)
			write(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc")
		}, "broken after abc"},
		{"in a chunk", func(c net.Conn, br *bufio.Reader) {
			readOne(br)
			write(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n5\r\nde")
		}, "broken after abcde"},
		{"no answer in the protocol", func(c net.Conn, br *bufio.Reader) { readOne(br); write(c, "nonsense\r\n\r\n") }, "error Unknown"},
		{"whole", func(c net.Conn, br *bufio.Reader) {
			readOne(br)
			write(c, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc")
		}, "whole abc"},
		{"whole without a length", func(c net.Conn, br *bufio.Reader) { readOne(br); write(c, "HTTP/1.1 200 OK\r\n\r\nabc") }, "whole abc"},
		{"after interim answers", func(c net.Conn, br *bufio.Reader) {
			readOne(br)
			write(c, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx")
		}, "whole x"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sent := 0
				address := upstream(t, func(_ int, c net.Conn, br *bufio.Reader) { sent++; tt.f(c, br) })
				c := client(t)
				assert.Equal(t, result(t, c, address, post("1")), tt.want)
				assert.Equal(t, sent, 1, "a request must never be sent again by itself")
			})
		})
	}
}

func TestNothingLeftWithoutAConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, err := client(t).Do(t.Context(), "memory-0:80", post("1"))
		var e *Error
		assert.Assert(t, errors.As(err, &e))
		assert.Equal(t, e.Outcome(), ferryoutcome.NotRun)
	})
}

func TestAnswersToOthersArePassedOver(t *testing.T) {
	answer := func(id, body string) string {
		return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
	}
	synctest.Test(t, func(t *testing.T) {
		address := upstream(t, func(n int, c net.Conn, br *bufio.Reader) {
			readOne(br)
			if n == 1 {
				write(c, answer("old", "no")+answer("1", "yes")+answer("late", "no"))
				readOne(br)
				return
			}
			for range maxForeign {
				write(c, answer("old", "no"))
			}
		})
		c := client(t)
		assert.Equal(t, result(t, c, address, post("1")), "whole yes")
		assert.Equal(t, result(t, c, address, post("2")), "error Unknown", "a connection that brings only foreign answers is given up")
		assert.Equal(t, c.Dials(), int64(2), "a connection with bytes that nobody asked for is not used again")
	})
}

func TestConnectionsAreUsedAgainWhileTheOtherEndKeepsThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		address := upstream(t, func(_ int, c net.Conn, br *bufio.Reader) {
			for readOne(br) {
				write(c, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n")
			}
		})
		c := client(t)
		do := func(alone bool) {
			t.Helper()
			r := post("1")
			r.Alone = alone
			assert.Equal(t, result(t, c, address, r), "whole ")
		}
		do(false)
		do(false)
		assert.Equal(t, c.Dials(), int64(1))
		do(true)
		assert.Equal(t, c.Dials(), int64(2), "a request that must not meet a closing connection opens its own")
		time.Sleep(4 * time.Second)
		do(false)
		assert.Equal(t, c.Dials(), int64(3), "the other end may close after 5 s, so 4 s is the limit")
		c.Sweep()
		c.Drop(address)
		do(false)
		assert.Equal(t, c.Dials(), int64(4))
	})
}

func TestTheUpstreamSeesThatNobodyWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended := make(chan time.Duration, 1)
		began := time.Now()
		address := upstream(t, func(_ int, c net.Conn, br *bufio.Reader) {
			readOne(br)
			write(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
			_, _ = br.ReadByte()
			ended <- time.Since(began)
		})
		left := errors.New("the caller left")
		ctx, cancel := context.WithCancelCause(t.Context())
		time.AfterFunc(time.Second, func() { cancel(left) })
		a, err := client(t).Do(ctx, address, post("1"))
		assert.NilError(t, err)
		_, err = io.ReadAll(a)
		a.Close()
		assert.ErrorIs(t, err, left)
		assert.Assert(t, <-ended < 1100*time.Millisecond)
	})
}

func TestTheRequestGoesOutAsItCame(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		got := make(chan string, 1)
		address := upstream(t, func(_ int, c net.Conn, br *bufio.Reader) {
			var b strings.Builder
			for !strings.HasSuffix(b.String(), "body") {
				ch, err := br.ReadByte()
				if err != nil {
					break
				}
				b.WriteByte(ch)
			}
			got <- b.String()
			write(c, "HTTP/1.1 204 No Content\r\n\r\n")
		})
		r := post("7")
		r.Header = PassOn(http.Header{
			echo: {"7"}, "Connection": {"close, X-Hop"}, "X-Hop": {"1"}, "Keep-Alive": {"5"}, "Te": {"trailers"}, "Accept": {"a", "b"},
		})
		assert.Equal(t, result(t, client(t), address, r), "whole ")
		assert.Equal(t, <-got, "POST /x?a=%2F HTTP/1.1\r\nHost: h\r\nAccept: a\r\nAccept: b\r\nRequest-Id: 7\r\nContent-Length: 4\r\n\r\nbody")
	})
}
