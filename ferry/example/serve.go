package main

import (
	"context"
	"net/http"
	"time"
)

const headerTimeout = 5 * time.Second

// serve serves the peer handler until the context ends.
func serve(ctx context.Context, address string, peers http.Handler) error {
	mux := http.NewServeMux()
	mux.Handle("GET /peer", peers)
	s := &http.Server{Addr: address, Handler: mux, ReadHeaderTimeout: headerTimeout}
	context.AfterFunc(ctx, func() { _ = s.Close() })
	return s.ListenAndServe()
}
