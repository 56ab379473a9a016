package ferryplain

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
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryoutcome"
)

// serveConn accepts connections one after another, passes each to f and closes it.
func serveConn(t *testing.T, f func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			f(c)
			c.Close()
		}
	}()
	return l.Addr().String()
}

func readRequest(t *testing.T, c net.Conn) {
	t.Helper()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
}

func TestOutcomeByPointOfFailure(t *testing.T) {
	tests := []struct {
		name string
		cut  func(net.Conn)
		want ferryoutcome.Outcome
	}{
		{"in the call's first line", func(c net.Conn) { _, _ = io.ReadFull(c, make([]byte, 1)) }, ferryoutcome.Unknown},
		{"after the call was read", func(c net.Conn) { readRequest(t, c) }, ferryoutcome.Unknown},
		{"in the answer's header", func(c net.Conn) {
			readRequest(t, c)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-")
		}, ferryoutcome.Unknown},
		{"in the answer's body", func(c net.Conn) {
			readRequest(t, c)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc")
		}, ferryoutcome.Ran},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var calls atomic.Int32
			address := serveConn(t, func(c net.Conn) {
				calls.Add(1)
				tt.cut(c)
			})
			c := New(ClientConfig{})
			defer c.Close()
			call := Call{Method: "POST", Path: "/x", Body: []byte("body"), Header: http.Header{IdempotencyKeyHeader: {"k"}}}
			_, err := c.Do(context.Background(), address, call)
			var d *DispatchError
			assert.Assert(t, errors.As(err, &d), "%v", err)
			assert.Equal(t, d.Outcome(), tt.want)
			assert.Equal(t, calls.Load(), int32(1), "a non-idempotent call was sent again")
		})
	}
}

// countingConn counts the writes and the bytes written.
type countingConn struct {
	net.Conn
	tries, bytes *atomic.Int32
}

func (c countingConn) Write(b []byte) (int, error) {
	c.tries.Add(1)
	n, err := c.Conn.Write(b)
	c.bytes.Add(int32(n))
	return n, err
}

// The transport may notice the closed connection before, during or after its write;
// the outcome must depend on whether it wrote.
func TestOutcomeOfConnectionClosedImmediately(t *testing.T) {
	address := serveConn(t, func(net.Conn) {})
	for range 50 {
		c := New(ClientConfig{})
		dial := c.unpooled.DialContext
		var tries, sent atomic.Int32
		c.unpooled.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dial(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return countingConn{conn, &tries, &sent}, nil
		}
		_, err := c.Do(t.Context(), address, Call{Method: "POST", Path: "/x", Body: []byte("body")})
		var d *DispatchError
		assert.Assert(t, errors.As(err, &d), "%v", err)
		switch {
		case sent.Load() > 0:
			assert.Equal(t, d.Outcome(), ferryoutcome.Unknown)
		case tries.Load() == 0:
			assert.Equal(t, d.Outcome(), ferryoutcome.NotRun)
		}
	}
}

// failingConn fails every write.
type failingConn struct{ net.Conn }

var errBroken = errors.New("broken")

func (failingConn) Write([]byte) (int, error) { return 0, errBroken }

func TestUnwrittenCallIsNotRun(t *testing.T) {
	hold := make(chan struct{})
	defer close(hold)
	address := serveConn(t, func(net.Conn) { <-hold })
	c := New(ClientConfig{})
	c.unpooled.DialContext = dialTracked(func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		return failingConn{conn}, err
	})
	_, err := c.Do(t.Context(), address, Call{Method: "POST", Path: "/x", Body: []byte("body")})
	var d *DispatchError
	assert.Assert(t, errors.As(err, &d), "%v", err)
	assert.Equal(t, d.Outcome(), ferryoutcome.NotRun)
}

func TestFailedDialIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	assert.NilError(t, l.Close())
	for _, idempotent := range []bool{true, false} {
		_, err = New(ClientConfig{}).Do(context.Background(), address, Call{Method: "POST", Path: "/", Idempotent: idempotent})
		var d *DispatchError
		assert.Assert(t, errors.As(err, &d))
		assert.Equal(t, d.Outcome(), ferryoutcome.NotRun)
	}
}

func TestUpstreamRefusal(t *testing.T) {
	address := serveConn(t, func(c net.Conn) {
		readRequest(t, c)
		_, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\nOutcome: NotRun\r\nContent-Length: 19\r\n\r\n{\"type\":\"Draining\"}")
	})
	_, err := New(ClientConfig{}).Do(context.Background(), address, Call{Method: "POST", Path: "/"})
	var r *RefusedError
	assert.Assert(t, errors.As(err, &r), "%v", err)
	assert.Assert(t, r.Leaving)
}

func TestIdleTimeout(t *testing.T) {
	clock := clockwork.NewFakeClock()
	hold := make(chan struct{})
	defer close(hold)
	address := serveConn(t, func(c net.Conn) {
		readRequest(t, c)
		clock.Advance(time.Minute)
		<-hold
	})
	c := New(ClientConfig{Clock: clock, IdleTimeout: 10 * time.Second})
	_, err := c.Do(context.Background(), address, Call{Method: "POST", Path: "/"})
	assert.ErrorIs(t, err, ErrIdleTimeout)
	var d *DispatchError
	assert.Assert(t, errors.As(err, &d))
	assert.Equal(t, d.Outcome(), ferryoutcome.Unknown)
}

func TestLargeAnswerStreams(t *testing.T) {
	const size = maxBufferedBytes + 1000
	address := serveConn(t, func(c net.Conn) {
		readRequest(t, c)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+strings.Repeat("a", size))
	})
	a, err := New(ClientConfig{}).Do(context.Background(), address, Call{Method: "GET", Path: "/", Idempotent: true})
	assert.NilError(t, err)
	rest, err := io.ReadAll(a.Rest)
	assert.NilError(t, err)
	assert.NilError(t, a.Rest.Close())
	assert.Equal(t, len(a.Body)+len(rest), size)
}

func TestCopyHeaderDropsHopHeaders(t *testing.T) {
	from := http.Header{"Connection": {"X-Hop"}, "X-Hop": {"1"}, "Authorization": {"secret"}, "Accept": {"a", "b"}}
	to := http.Header{}
	CopyHeader(to, from)
	assert.DeepEqual(t, to, http.Header{"Accept": {"a", "b"}})
}
