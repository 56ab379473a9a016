package ferryingress

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
)

const (
	readBufferBytes = 4 << 10 // holds the header and body of a usual request
	// lingerTime is how long bytes of a refused request are read, so that the caller sees the answer before a reset.
	lingerTime = 500 * time.Millisecond
	// lingerBytes bounds how many of them.
	lingerBytes = 1 << 20
	// acceptPause follows a failed accept, such as for want of descriptors.
	acceptPause = 20 * time.Millisecond
)

// ErrCallerLeft ends the context of a call whose caller has closed its connection.
var ErrCallerLeft = errors.New("the caller closed its connection")

// Config sets up a Server; Handle must be set.
type Config struct {
	Clock clockwork.Clock
	Log   zerolog.Logger
	// Handle answers one call; a call that it leaves without a whole answer ends with its connection.
	Handle func(ctx context.Context, c *Call)
	// Refused answers a request that cannot be accepted, or is nil for a bare status.
	Refused func(c *Call, e *RequestError)
	// Limits returns the limits in force.
	Limits func() Limits
	// MaxConns is the most connections served at once; further ones wait to be accepted. Zero stands for no limit.
	MaxConns int
}

// Server serves callers' connections.
type Server struct {
	cfg      Config
	stopping atomic.Bool
	open     atomic.Int64
	active   atomic.Int64
	slots    chan struct{}

	mu    sync.Mutex
	conns map[*serverConn]struct{}
	wg    sync.WaitGroup
}

// NewServer returns a server that serves nothing yet.
func NewServer(cfg Config) *Server {
	if cfg.Clock == nil {
		cfg.Clock = clockwork.NewRealClock()
	}
	s := &Server{cfg: cfg, conns: map[*serverConn]struct{}{}}
	if cfg.MaxConns > 0 {
		s.slots = make(chan struct{}, cfg.MaxConns)
	}
	return s
}

// Open counts the connections and the calls that are open now.
func (s *Server) Open() (conns, calls int64) {
	return s.open.Load(), s.active.Load()
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	for {
		if s.slots != nil {
			select {
			case s.slots <- struct{}{}:
			case <-ctx.Done():
				return context.Cause(ctx)
			}
		}
		nc, err := l.Accept()
		if err != nil {
			s.release()
			if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
				return nil
			}
			s.cfg.Log.Warn().Err(err).Msg("accept caller")
			s.cfg.Clock.Sleep(acceptPause)
			continue
		}
		c := s.add(nc)
		go c.serve(ctx)
	}
}

func (s *Server) release() {
	if s.slots != nil {
		<-s.slots
	}
}

func (s *Server) add(nc net.Conn) *serverConn {
	c := &serverConn{server: s, Conn: nc, w: writer{conn: nc}}
	c.limit = &bounded{r: nc}
	c.br = bufio.NewReaderSize(c.limit, readBufferBytes)
	s.wg.Add(1)
	s.open.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	return c
}

func (s *Server) remove(c *serverConn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	s.open.Add(-1)
	s.release()
	s.wg.Done()
}

// Stop lets each connection end after the call that it carries; idle ones end at once, a request that crosses is not read.
func (s *Server) Stop() {
	s.stopping.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.stopIdle()
	}
}

// Wait returns when all connections have ended or the context is done.
func (s *Server) Wait(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Server) limits() Limits {
	var l Limits
	if s.cfg.Limits != nil {
		l = s.cfg.Limits()
	}
	return l.withDefaults()
}

func (s *Server) refuse(c *Call, e *RequestError) {
	if s.cfg.Refused != nil {
		s.cfg.Refused(c, e)
		return
	}
	_ = c.Answer(e.Status, http.Header{}, nil)
}
