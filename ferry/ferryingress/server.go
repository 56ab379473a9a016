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

	"cactusferry.dev/ferry/ferryguard"
)

const (
	readBufferBytes = 4 << 10 // fits the head and body of a typical request
	// lingerTime is how long the input of a refused request is discarded, so that the caller reads the answer
	// before a reset.
	lingerTime = 500 * time.Millisecond
	// lingerBytes is the maximum number of discarded bytes.
	lingerBytes = 1 << 20
	// acceptBackoff is the backoff after a failed accept, for example when file descriptors run out.
	acceptBackoff = 20 * time.Millisecond
)

// ErrCallerDisconnected is the cancellation cause of a call whose caller has closed its connection.
var ErrCallerDisconnected = errors.New("caller closed its connection")

// Config configures a Server; Handle is required.
type Config struct {
	Clock clockwork.Clock
	Log   zerolog.Logger
	// Handle answers one call; if it returns without a complete answer the connection is closed.
	Handle func(ctx context.Context, c *Call)
	// Refused answers a request that cannot be accepted; if it is nil the answer has a status only.
	Refused func(c *Call, e *RequestError)
	// Limits returns the current limits; nil means the defaults.
	Limits func() Limits
	// Guard confines the panic of a handler to its connection; nil means one that logs to Log.
	Guard *ferryguard.Guard
	// MaxConns is the maximum number of open connections; further ones wait in the accept queue. Zero means
	// no limit.
	MaxConns int
}

// Server serves the connections of callers.
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

// NewServer returns a Server; Serve starts it.
func NewServer(cfg Config) *Server {
	if cfg.Clock == nil {
		cfg.Clock = clockwork.NewRealClock()
	}
	if cfg.Guard == nil {
		cfg.Guard = ferryguard.New(ferryguard.Config{Log: &cfg.Log, Clock: cfg.Clock})
	}
	s := &Server{cfg: cfg, conns: map[*serverConn]struct{}{}}
	if cfg.MaxConns > 0 {
		s.slots = make(chan struct{}, cfg.MaxConns)
	}
	return s
}

// Open returns the numbers of open connections and of calls in progress.
func (s *Server) Open() (conns, calls int64) {
	return s.open.Load(), s.active.Load()
}

// Serve accepts connections until the listener is closed or the context ends.
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
			s.releaseSlot()
			if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
				return nil
			}
			s.cfg.Log.Warn().Err(err).Msg("accepting a connection failed; retrying after a pause")
			s.cfg.Clock.Sleep(acceptBackoff)
			continue
		}
		c := s.add(nc)
		go c.serve(ctx)
	}
}

func (s *Server) releaseSlot() {
	if s.slots != nil {
		<-s.slots
	}
}

func (s *Server) add(nc net.Conn) *serverConn {
	c := &serverConn{server: s, Conn: nc, w: writer{conn: nc, stopping: &s.stopping}}
	c.limited = &limitedReader{r: nc}
	c.br = bufio.NewReaderSize(c.limited, readBufferBytes)
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
	s.releaseSlot()
	s.wg.Done()
}

// Stop closes idle connections at once and the others after their current call. A request that arrives on an
// idle connection meanwhile is not read. A connection that has carried no request yet may still send one within
// stoppingIdleTimeout.
func (s *Server) Stop() {
	s.stopping.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.stopIdle()
	}
}

// Wait blocks until all connections have ended, or returns the error of the context.
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
