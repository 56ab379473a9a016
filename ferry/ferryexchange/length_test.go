package ferryexchange

import (
	"bufio"
	"net"
	"strings"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"
)

// TestImpossibleLengths guards against an answer whose length cannot be used being taken as complete, or its connection
// being used again.
func TestImpossibleLengths(t *testing.T) {
	for _, tt := range []struct{ name, head, body, want string }{
		{"negative Content-Length", "Content-Length: -1\r\n", "abc", "error Unknown"},
		{"Content-Length beyond 63 bits", "Content-Length: 9223372036854775808\r\n", "abc", "error Unknown"},
		{"Content-Length beyond 64 bits", "Content-Length: 99999999999999999999\r\n", "abc", "error Unknown"},
		{"greatest Content-Length", "Content-Length: 9223372036854775807\r\n", "abc", "incomplete abc"},
		{"no number", "Content-Length: 3x\r\n", "abc", "error Unknown"},
		{"signed Content-Length", "Content-Length: +3\r\n", "abc", "error Unknown"},
		{"different Content-Lengths", "Content-Length: 3\r\nContent-Length: 2\r\n", "abc", "error Unknown"},
		{"different Content-Lengths in one line", "Content-Length: 3, 2\r\n", "abc", "error Unknown"},
		{"chunk size beyond 64 bits", "Transfer-Encoding: chunked\r\n", "10000000000000003\r\nabc\r\n0\r\n\r\n", "incomplete "},
		{"greatest chunk size", "Transfer-Encoding: chunked\r\n", "ffffffffffffffff\r\nabc\r\n0\r\n\r\n", "incomplete abc\r\n0\r\n\r\n"},
		{"negative chunk size", "Transfer-Encoding: chunked\r\n", "-3\r\nabc\r\n0\r\n\r\n", "incomplete "},
		{"chunk longer than its size", "Transfer-Encoding: chunked\r\n", "2\r\nabc\r\n0\r\n\r\n", "incomplete ab"},
		{"two codings", "Transfer-Encoding: chunked, chunked\r\n", "3\r\nabc\r\n0\r\n\r\n", "error Unknown"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				connections := 0
				address := startUpstream(t, func(n int, c net.Conn, br *bufio.Reader) {
					connections = n
					readRequest(br)
					if n > 1 {
						writeString(c, "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 2\r\n\r\nok")
						return
					}
					writeString(c, "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n"+tt.head+"\r\n"+tt.body)
					if !strings.HasPrefix(tt.name, "greatest") {
						_, _ = br.ReadByte() // returns when the client closes
					}
				})
				c := newClient(t)
				assert.Equal(t, exchangeResult(t, c, address, newPost("1")), tt.want)
				assert.Equal(t, exchangeResult(t, c, address, newPost("1")), "complete ok")
				assert.Equal(t, connections, 2)
			})
		})
	}
}
