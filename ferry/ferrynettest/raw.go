package ferrynettest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
)

// InvalidStatuses are the statuses, as sent, of answers that are no answers.
var InvalidStatuses = map[string]int{"000": 0, "099": 99, "600": 600, "999": 999}

// RawServer is a TCP server that answers its first request with one text and all later ones with another. It keeps its
// connections open until the client closes them.
type RawServer struct {
	Address     string
	connections atomic.Int32
	requests    atomic.Int32
	once        sync.Once
	closed      chan struct{}
}

// NewRawServer starts a RawServer that ends with the test.
func NewRawServer(tb testing.TB, first, later string) *RawServer {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = l.Close() })
	s := &RawServer{Address: l.Addr().String(), closed: make(chan struct{})}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			go s.serve(c, first, later)
		}
	}()
	return s
}

func (s *RawServer) serve(c net.Conn, first, later string) {
	defer s.once.Do(func() { close(s.closed) })
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		text := later
		if s.requests.Add(1) == 1 {
			text = first
		}
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
	}
}

// Connections returns the number of connections accepted so far.
func (s *RawServer) Connections() int { return int(s.connections.Load()) }

// Requests returns the number of requests received so far.
func (s *RawServer) Requests() int { return int(s.requests.Load()) }

// WaitClosed waits until a connection was closed by the client.
func (s *RawServer) WaitClosed() { <-s.closed }
