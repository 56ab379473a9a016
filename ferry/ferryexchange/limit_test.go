package ferryexchange

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryoutcome"
)

// repeatedly writes a text after a prefix until the peer closes, with 8 MB at most.
func repeatedly(prefix, text string) func(c net.Conn, br *bufio.Reader) {
	return func(c net.Conn, br *bufio.Reader) {
		readRequest(br)
		writeString(c, prefix)
		block := strings.Repeat(text, 1+4096/len(text))
		for n := 0; n < 8<<20; n += len(block) {
			if _, err := io.WriteString(c, block); err != nil {
				return
			}
			time.Sleep(time.Millisecond)
		}
	}
}

// slowly writes a text byte by byte, with a pause after each.
func slowly(prefix, text string, pause time.Duration) func(c net.Conn, br *bufio.Reader) {
	return func(c net.Conn, br *bufio.Reader) {
		readRequest(br)
		writeString(c, prefix)
		for i := range len(text) {
			if _, err := io.WriteString(c, text[i:i+1]); err != nil {
				return
			}
			time.Sleep(pause)
		}
	}
}

// TestEndlessHeads has upstreams send heads without end. The exchange must fail early with the limit that was
// exceeded, as one that may have run.
func TestEndlessHeads(t *testing.T) {
	for _, tt := range []struct {
		name string
		f    func(c net.Conn, br *bufio.Reader)
		want string
	}{
		{"one status line", repeatedly("HTTP/1.1 200 ", "a"), "head of the answer exceeds 65536 bytes"},
		{"one header line", repeatedly("HTTP/1.1 200 OK\r\nA: ", "a"), "head of the answer exceeds 65536 bytes"},
		{"bytes that are no answer", repeatedly("", "\x00\x01"), "head of the answer exceeds 65536 bytes"},
		{"header lines", repeatedly("HTTP/1.1 200 OK\r\n", "a: b\r\n"), "head of the answer exceeds 256 lines"},
		{"folded header line", repeatedly("HTTP/1.1 200 OK\r\nA: b\r\n", " c\r\n"), "head of the answer exceeds 256 lines"},
		{"interim answers", repeatedly("", "HTTP/1.1 100 Continue\r\n\r\n"), "answer exceeds 16 interim answers"},
		{"a head that takes too long", slowly("HTTP/1.1 200 OK\r\n", strings.Repeat("a: b\r\n", 200), 100*time.Millisecond), "head of the answer exceeds 5s"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				address := startUpstream(t, func(_ int, c net.Conn, br *bufio.Reader) { tt.f(c, br) })
				c := newClient(t)
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				began := time.Now()
				_, err := c.Do(ctx, address, newPost("1"))
				var limit *LimitError
				var e *Error
				assert.Assert(t, errors.As(err, &limit), "%v", err)
				assert.ErrorContains(t, err, tt.want)
				assert.Assert(t, errors.As(err, &e) && e.Outcome() == ferryoutcome.Unknown)
				assert.Assert(t, time.Since(began) <= 6*time.Second, "%s", time.Since(began))
			})
		})
	}
}

// TestEndlessBodies has upstreams send bodies whose framing has no end: extensions of chunks, trailers, and bytes
// after the answer.
func TestEndlessBodies(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, tt := range []struct {
		name string
		f    func(c net.Conn, br *bufio.Reader)
	}{
		{"chunk extension", repeatedly(chunked+"1;", "a")},
		{"extensions of many chunks", repeatedly(chunked, "1;"+strings.Repeat("a", 1000)+"\r\nx\r\n")},
		{"trailer line", repeatedly(chunked+"0\r\nA: ", "a")},
		{"trailer lines", repeatedly(chunked+"0\r\n", "a: b\r\n")},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				address := startUpstream(t, func(_ int, c net.Conn, br *bufio.Reader) { tt.f(c, br) })
				a, err := newClient(t).Do(t.Context(), address, newPost("1"))
				assert.NilError(t, err)
				defer a.Close()
				n, err := io.Copy(io.Discard, a)
				assert.Assert(t, err != nil, "endless body taken as complete")
				assert.Assert(t, n < 1<<10, "%d bytes of body", n)
			})
		})
	}
}

// TestConnectionWithFurtherBytesIsNotReused has an upstream go on sending after its complete answer.
func TestConnectionWithFurtherBytesIsNotReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		conns := 0
		address := startUpstream(t, func(n int, c net.Conn, br *bufio.Reader) {
			conns = n
			repeatedly("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\ny")(c, br)
		})
		c := newClient(t)
		for range 3 {
			assert.Equal(t, exchangeResult(t, c, address, newPost("1")), "complete x")
			time.Sleep(time.Second)
		}
		assert.Equal(t, conns, 3)
	})
}

// TestLateCopyOnReusedConnection has an upstream send a second copy of its answer, with or without the request's id,
// once the connection carries the next request. No request may get the answer of another one.
func TestLateCopyOnReusedConnection(t *testing.T) {
	answer := func(id, body string) string {
		head := "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n"
		if id != "" {
			head += echoHeader + ": " + id + "\r\n"
		}
		return head + "\r\n" + body
	}
	refusal := func(id string) string {
		return strings.NewReplacer("200 OK", "503 Full", "Length: 1", "Length: 0").Replace(answer(id, ""))
	}
	for _, tt := range []struct {
		name              string
		first, copy, next string
		want              []string
		dials             int64
	}{
		{"copy with an id", answer("1", "x"), answer("1", "x"), answer("2", "y"), []string{"complete x", "complete y"}, 1},
		{"copy without an id", answer("1", "x"), answer("", "x"), answer("2", "y"), []string{"complete x", "complete y"}, 1},
		{"upstream without ids", answer("", "x"), answer("", "x"), answer("", "x"), []string{"complete x", "complete x"}, 2},
		{"copy of a refusal with its id", refusal("1"), refusal("1"), answer("2", "y"), []string{"complete ", "complete y"}, 1},
		{"copy of a refusal without an id", refusal("1"), refusal(""), answer("2", "y"), []string{"complete ", "complete y"}, 1},
		{"next answer without an id", answer("1", "x"), "", answer("", "y"), []string{"complete x", "error Unknown"}, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				address := startUpstream(t, func(_ int, c net.Conn, br *bufio.Reader) {
					readRequest(br)
					writeString(c, tt.first)
					if !readRequest(br) {
						return
					}
					writeString(c, tt.copy)
					time.Sleep(time.Millisecond)
					writeString(c, tt.next)
				})
				c := newClient(t)
				var got []string
				for _, id := range []string{"1", "2"} {
					got = append(got, exchangeResult(t, c, address, newPost(id)))
					time.Sleep(time.Second)
				}
				assert.DeepEqual(t, got, tt.want)
				assert.Equal(t, c.Dials(), tt.dials)
			})
		})
	}
}

// TestUnsolicitedBytesMakeAConnectionUnusable checks idle connections over real sockets.
func TestUnsolicitedBytesMakeAConnectionUnusable(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	dialed, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer dialed.Close()
	upstream, err := l.Accept()
	assert.NilError(t, err)
	defer upstream.Close()
	cn := newConn(dialed, "a")
	assert.Assert(t, cn.usable())
	writeString(upstream, "x")
	raw, err := dialed.(*net.TCPConn).SyscallConn()
	assert.NilError(t, err)
	// Waits until the byte has arrived, without reading it.
	assert.NilError(t, raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return err == nil && n == 1
	}))
	assert.Assert(t, !cn.usable())
}

// FuzzAnswer compares the answers with those that net/http reads from the same bytes: a complete answer must be
// the same, and whatever this client refuses beyond that must exceed a limit.
func FuzzAnswer(f *testing.F) {
	for _, s := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\nuntil the end", "\x00\x01\r\n\r\n",
		"HTTP/1.1 200 OK\n\nx", "HTTP/1.1 200 OK\r\nA: b\r\n c\r\nContent-Length: 0\r\n\r\nmore",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		client, upstream := net.Pipe()
		go func() {
			_, _ = upstream.Write(b)
			_ = upstream.Close()
		}()
		cn := newConn(client, "a")
		defer cn.Close()
		a, err := New(Config{}).readAnswer(cn, &Request{Method: http.MethodGet}, false, nil)
		got := "refused"
		if err == nil {
			body, err := io.ReadAll(a.body)
			got = fmt.Sprint(a.Status, string(body), err == nil)
		}
		want := readByNetHTTP(b)
		var limit *LimitError
		if got != want && !errors.As(err, &limit) {
			t.Errorf("answer %q: got %q (%v), net/http reads %q", b, got, err, want)
		}
	})
}

// readByNetHTTP reads the first answer that is not interim.
func readByNetHTTP(b []byte) string {
	br := bufio.NewReader(strings.NewReader(string(b)))
	for {
		resp, err := http.ReadResponse(br, &http.Request{Method: http.MethodGet})
		switch {
		case err != nil || resp.StatusCode == http.StatusSwitchingProtocols:
			return "refused"
		case resp.StatusCode/100 == 1:
			continue
		}
		body, err := io.ReadAll(resp.Body)
		return fmt.Sprint(resp.StatusCode, string(body), err == nil)
	}
}
