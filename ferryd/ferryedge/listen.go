package ferryedge

import (
	"context"
	"errors"
	stdlog "log"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
)

const (
	headerTimeout = 5 * time.Second
	headerBytes   = 16 << 10
	idleTimeout   = 30 * time.Second
)

// listen opens all listeners and starts serving them.
func (e *Edge) listen(ctx context.Context, g *errgroup.Group) error {
	callers, err := e.cfg.Listen("tcp", e.cfg.Callers)
	if err != nil {
		return err
	}
	e.callerListener = callers
	context.AfterFunc(ctx, func() { _ = callers.Close() })
	g.Go(func() error {
		defer close(e.accepted)
		return e.ingress.Serve(ctx, callers)
	})
	peers := chi.NewRouter()
	peers.Handle("/peer", e.peer.Handler())
	if err := e.serveHTTP(ctx, g, e.cfg.Peers, peers); err != nil {
		return err
	}
	for _, s := range e.cfg.Servers {
		if err := e.serveHTTP(ctx, g, s.Address, s.Handler(e)); err != nil {
			return err
		}
	}
	return nil
}

// serveHTTP opens a listener and serves it until the context ends.
func (e *Edge) serveHTTP(ctx context.Context, g *errgroup.Group, address string, h http.Handler) error {
	l, err := e.cfg.Listen("tcp", address)
	if err != nil {
		return err
	}
	s := &http.Server{
		Handler: h, MaxHeaderBytes: headerBytes, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		ErrorLog: stdlog.New(e.cfg.Log.With().Str("From", "net/http").Logger().Level(zerolog.DebugLevel), "", 0),
	}
	context.AfterFunc(ctx, func() { _ = s.Close() })
	g.Go(func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return nil
}
