package ferryexchange

import (
	"bufio"
	"errors"
	"net"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferrynettest"
	"cactusferry.dev/ferry/ferryoutcome"
	"cactusferry.dev/ferry/ferrystatus"
)

// TestStatusThatIsNotFinal guards against returning an answer without a final status: the exchange fails with an unknown
// outcome and its connection is closed.
func TestStatusThatIsNotFinal(t *testing.T) {
	for text, status := range ferrynettest.InvalidStatuses {
		for name, answer := range map[string]string{
			"no body":             "HTTP/1.1 " + text + " x\r\nRequest-Id: 1\r\nContent-Length: 0\r\n\r\n",
			"body":                "HTTP/1.1 " + text + " x\r\nRequest-Id: 1\r\nContent-Length: 1\r\n\r\nx",
			"no length":           "HTTP/1.1 " + text + " x\r\nRequest-Id: 1\r\n\r\n",
			"without id":          "HTTP/1.1 " + text + " x\r\nContent-Length: 0\r\n\r\n",
			"id of another":       "HTTP/1.1 " + text + " x\r\nRequest-Id: 2\r\nContent-Length: 0\r\n\r\n",
			"after interim":       "HTTP/1.1 103 x\r\n\r\nHTTP/1.1 " + text + " x\r\nRequest-Id: 1\r\nContent-Length: 0\r\n\r\n",
			"before a good one":   "HTTP/1.1 " + text + " x\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 1\r\n\r\nx",
			"after one to others": "HTTP/1.1 200 OK\r\nRequest-Id: 2\r\nContent-Length: 0\r\n\r\nHTTP/1.1 " + text + " x\r\nRequest-Id: 1\r\nContent-Length: 0\r\n\r\n",
		} {
			t.Run(text+" "+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					closed, connections := make(chan struct{}), 0
					address := startUpstream(t, func(n int, c net.Conn, br *bufio.Reader) {
						connections = n
						readRequest(br)
						if n > 1 {
							writeString(c, "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 2\r\n\r\nok")
							return
						}
						writeString(c, answer)
						_, _ = br.ReadByte()
						close(closed)
					})
					c := newClient(t)
					a, err := c.Do(t.Context(), address, newPost("1"))
					if err == nil {
						a.Close()
						t.Fatalf("answer with status %d", a.Status)
					}
					var invalid *ferrystatus.InvalidError
					assert.Assert(t, errors.As(err, &invalid), "%v", err)
					assert.DeepEqual(t, invalid, &ferrystatus.InvalidError{Status: status, Source: address})
					var e *Error
					assert.Assert(t, errors.As(err, &e))
					assert.Equal(t, e.Outcome(), ferryoutcome.Unknown)
					<-closed
					assert.Equal(t, exchangeResult(t, c, address, newPost("1")), "complete ok")
					assert.Equal(t, connections, 2)
				})
			})
		}
	}
}
