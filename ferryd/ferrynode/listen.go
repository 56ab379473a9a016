package ferrynode

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-chi/chi/v5"

	"cactusferry.dev/ferryd/ferrykeys"
	"cactusferry.dev/ferryd/ferrysettings"
)

const (
	callersIdleTimeout = 2 * time.Minute
	peersHeaderTimeout = 5 * time.Second
	peersHeaderBytes   = 16 << 10
)

// callersServer returns the HTTP server for callers, health checks and metrics.
func (n *Node) callersServer() *http.Server {
	m := chi.NewRouter()
	m.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	m.Get("/readyz", n.readyz)
	m.Handle("/metrics", n.metrics.Handler)
	m.Mount("/", n.callers.Handler())
	cfg := n.cfg.Callers
	p := &http.Protocols{}
	p.SetHTTP1(true)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           m,
		Protocols:         p,
		MaxHeaderBytes:    cfg.HeaderBytes,
		ReadHeaderTimeout: time.Duration(cfg.HeaderTimeout),
		IdleTimeout:       callersIdleTimeout,
		ErrorLog:          n.stdLog(),
	}
}

// peersServer returns the HTTP server for peers, operators, health checks and metrics.
func (n *Node) peersServer() *http.Server {
	m := chi.NewRouter()
	m.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	m.Handle("/metrics", n.metrics.Handler)
	m.Handle("/peer", n.peer.Handler())
	n.operators.Mount(m)
	return &http.Server{
		Handler:           m,
		MaxHeaderBytes:    peersHeaderBytes,
		ReadHeaderTimeout: peersHeaderTimeout,
		IdleTimeout:       callersIdleTimeout,
		ErrorLog:          n.stdLog(),
	}
}

// listen opens a TCP listener, with TLS if pair is not nil.
func (n *Node) listen(address string, pair *ferrykeys.Pair) (net.Listener, error) {
	l, err := n.listener("tcp", address)
	if err != nil {
		return nil, merry.Prepend(err, "listen on "+address)
	}
	if pair == nil {
		return l, nil
	}
	return tls.NewListener(l, pair.Server()), nil
}

// loadPair loads a TLS key pair; it returns nil if none is configured.
func (n *Node) loadPair(cfg ferrysettings.TLS) (*ferrykeys.Pair, error) {
	if !cfg.Enabled() {
		return nil, nil
	}
	return ferrykeys.Load(n.clock, cfg)
}

// serveHTTP serves until the context ends, then closes the server and its connections.
func serveHTTP(ctx context.Context, s *http.Server, l net.Listener) error {
	stopped := make(chan struct{})
	go func() {
		<-ctx.Done()
		_ = s.Close()
		close(stopped)
	}()
	err := s.Serve(l)
	if errors.Is(err, http.ErrServerClosed) && ctx.Err() == nil {
		return nil
	}
	if ctx.Err() != nil {
		<-stopped
		return nil
	}
	return merry.Prepend(err, "serve HTTP")
}

func (n *Node) readyz(w http.ResponseWriter, _ *http.Request) {
	if s := n.state(); s != StateReady {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(s.String() + "\n"))
		return
	}
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write([]byte("Ready\n"))
}
