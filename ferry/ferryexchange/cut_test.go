package ferryexchange

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"
)

// cutAnswers are whole answers by their framing.
var cutAnswers = map[string]string{
	"length":        "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nSigned: yes\r\nContent-Length: 5\r\n\r\nhello",
	"chunks":        "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nSigned: yes\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n",
	"trailer":       "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nA: b\r\n\r\n",
	"line feeds":    "HTTP/1.1 200 OK\nRequest-Id: 1\nContent-Length: 5\n\nhello",
	"interim first": "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 5\r\n\r\nhello",
	"no length":     "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nSigned: yes\r\n\r\nhello",
}

// TestAnswerThatEndsAnywhereIsNotComplete cuts answers at every byte, on a new and on a reused connection. Only an
// answer without a length, whose end is the end of the connection, may end early unnoticed, and only in its body.
func TestAnswerThatEndsAnywhereIsNotComplete(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nRequest-Id: 0\r\nContent-Length: 0\r\n\r\n"
	for name, text := range cutAnswers {
		for _, reused := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reused %t", name, reused), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					cuts := len(text)
					if name == "no length" {
						cuts = strings.Index(text, "hello")
					}
					address := startUpstream(t, func(n int, c net.Conn, br *bufio.Reader) {
						readRequest(br)
						if reused {
							writeString(c, whole)
							readRequest(br)
						}
						writeString(c, text[:min(n-1, cuts)])
						if n > cuts {
							writeString(c, text[cuts:])
						}
					})
					c := newClient(t)
					for i := range cuts + 1 {
						if reused {
							assert.Equal(t, exchangeResult(t, c, address, newPost("0")), "complete ")
						}
						got := exchangeResult(t, c, address, newPost("1"))
						if i < cuts {
							assert.Assert(t, !strings.HasPrefix(got, "complete"), "cut after %q: %s", text[:i], got)
							continue
						}
						assert.Equal(t, got, "complete hello")
					}
					assert.Equal(t, c.Dials(), int64(cuts+1))
				})
			})
		}
	}
}

// TestResetAnswerWithoutLengthIsNotComplete resets connections over real sockets once the first part of the body has
// been read.
func TestResetAnswerWithoutLengthIsNotComplete(t *testing.T) {
	for _, reset := range []bool{false, true} {
		t.Run(fmt.Sprintf("reset %t", reset), func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer l.Close()
			read := make(chan struct{})
			done := make(chan struct{})
			go func() {
				defer close(done)
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				readRequest(bufio.NewReader(c))
				writeString(c, cutAnswers["no length"])
				<-read
				if reset {
					_ = c.(*net.TCPConn).SetLinger(0)
				}
			}()
			c := New(Config{})
			defer c.Close()
			a, err := c.Do(t.Context(), l.Addr().String(), newPost("1"))
			assert.NilError(t, err)
			assert.Assert(t, a.Unframed)
			defer a.Close()
			b := make([]byte, 5)
			_, err = io.ReadFull(a, b)
			assert.NilError(t, err)
			close(read)
			_, err = io.ReadAll(a)
			assert.Equal(t, err != nil, reset, "%v", err)
			<-done
		})
	}
}

// TestAnswerWithoutLengthEndsItsConnection has an upstream that wants to keep the connection of such an answer.
func TestAnswerWithoutLengthEndsItsConnection(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nKeep-Alive: timeout=10\r\nConnection: keep-alive\r\n\r\n",
		"HTTP/1.0 200 OK\r\nRequest-Id: 1\r\nConnection: keep-alive\r\n\r\n",
	} {
		synctest.Test(t, func(t *testing.T) {
			address := startUpstream(t, func(_ int, c net.Conn, br *bufio.Reader) {
				readRequest(br)
				writeString(c, head+"abc")
			})
			c := newClient(t)
			for range 3 {
				assert.Equal(t, exchangeResult(t, c, address, newPost("1")), "complete abc")
			}
			assert.Equal(t, c.Dials(), int64(3))
		})
	}
}
