package ferryproxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

// startEcho starts a server that answers each line with the same line,
// and returns its address and a channel of the received lines.
func startEcho(t *testing.T) (string, chan string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	got := make(chan string, 16)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				s := bufio.NewScanner(c)
				for s.Scan() {
					got <- s.Text()
					fmt.Fprintln(c, s.Text())
				}
			}()
		}
	}()
	return l.Addr().String(), got
}

// conn is one client's connection.
type conn struct {
	net.Conn
	r *bufio.Reader
}

func dial(t *testing.T, address string) conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return conn{Conn: c, r: bufio.NewReader(c)}
}

func (c conn) roundTrip(t *testing.T, line string) {
	t.Helper()
	_, err := fmt.Fprintln(c, line)
	assert.NilError(t, err)
	back, err := c.r.ReadString('\n')
	assert.NilError(t, err)
	assert.Equal(t, back, line+"\n")
}

func newProxy(t *testing.T, cfg Config) *Proxy {
	t.Helper()
	p, err := New(cfg)
	assert.NilError(t, err)
	t.Cleanup(p.Close)
	return p
}

func TestPassAndCut(t *testing.T) {
	target, _ := startEcho(t)
	p := newProxy(t, Config{Target: target})
	a := dial(t, p.Address())
	a.roundTrip(t, "one")
	p.SetAll(Cut{})
	_, err := a.r.ReadString('\n')
	assert.Assert(t, err != nil, "expected the open connection to be closed")
	b := dial(t, p.Address())
	_, err = b.r.ReadString('\n')
	assert.Assert(t, err != nil, "expected the new connection to be closed")
	p.SetAll(Pass{})
	dial(t, p.Address()).roundTrip(t, "two")
}

// A silent connection stays open and delivers nothing in either
// direction, also while new connections are forwarded.
func TestSilentConnectionStaysSilent(t *testing.T) {
	target, got := startEcho(t)
	p := newProxy(t, Config{Target: target})
	a := dial(t, p.Address())
	a.roundTrip(t, "one")
	assert.Equal(t, <-got, "one")
	assert.Equal(t, p.Silence(), 1)
	_, err := fmt.Fprintln(a, "lost")
	assert.NilError(t, err)
	b := dial(t, p.Address())
	b.roundTrip(t, "two")
	assert.Equal(t, <-got, "two")
	_, err = fmt.Fprintln(a, "lost again")
	assert.NilError(t, err)
	b.roundTrip(t, "three")
	assert.Equal(t, <-got, "three")
	assert.NilError(t, a.SetReadDeadline(time.Now().Add(-time.Second)))
	_, err = a.r.ReadString('\n')
	var timeout net.Error
	assert.Assert(t, err != nil && asTimeout(err, &timeout), "expected a read time-out on the silent connection, got %v", err)
}

func asTimeout(err error, to *net.Error) bool {
	n, ok := err.(net.Error)
	*to = n
	return ok && n.Timeout()
}

func TestDelay(t *testing.T) {
	target, got := startEcho(t)
	clock := clockwork.NewFakeClock()
	p := newProxy(t, Config{Target: target, Clock: clock})
	p.SetAll(Delay{Time: time.Second})
	a := dial(t, p.Address())
	_, err := fmt.Fprintln(a, "late")
	assert.NilError(t, err)
	assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
	assert.Equal(t, len(got), 0)
	clock.Advance(time.Second)
	assert.Equal(t, <-got, "late")
	assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
	clock.Advance(time.Second)
	back, err := a.r.ReadString('\n')
	assert.NilError(t, err)
	assert.Equal(t, back, "late\n")
}

// A fault of one source does not affect the others.
func TestSources(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		_, _ = w.Write(b)
	}))
	defer s.Close()
	p := newProxy(t, Config{Target: strings.TrimPrefix(s.URL, "http://"), Named: true})
	p.Set("entry-2", Cut{})
	// The source is determined once per connection, so each request needs a new connection.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for _, tt := range []struct {
		agent string
		works bool
	}{{"ferryd/entry-1", true}, {"ferryd/entry-2", false}, {"curl", true}} {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+p.Address()+"/", strings.NewReader("body"))
		assert.NilError(t, err)
		r.Header.Set("User-Agent", tt.agent)
		w, err := client.Do(r)
		assert.Equal(t, err == nil, tt.works, "%s: %v", tt.agent, err)
		if err == nil {
			b, err := io.ReadAll(w.Body)
			assert.NilError(t, err)
			assert.NilError(t, w.Body.Close())
			assert.Equal(t, string(b), "body")
		}
	}
}
