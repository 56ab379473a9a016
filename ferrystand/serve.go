package main

import (
	"context"
	"errors"
	"fmt"
	"log"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// stopTimeout is the time limit for calls in progress after a stop signal.
const stopTimeout = 2 * time.Second

// listenOption is the common flag of the plain and platform stand-ins.
type listenOption struct {
	Listen string `long:"listen" value-name:"ADDRESS" required:"true" description:"address to listen on, such as 127.0.0.1:9000; port 0 takes a free one"`
}

// serve serves until SIGTERM or SIGINT. It calls ready with the address once it listens.
func serve(address string, h http.Handler, ready func(ctx context.Context, address string) error) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	calls, cancel := context.WithCancel(context.Background())
	defer cancel()
	srv := &http.Server{
		Handler:     h,
		ErrorLog:    log.New(os.Stderr, "", 0),
		BaseContext: func(net.Listener) context.Context { return calls },
	}
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(l) }()
	if err := ready(ctx, l.Addr().String()); err != nil {
		return errors.Join(err, srv.Close())
	}
	fmt.Println("ready", l.Addr())
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	cancel()
	return shutdown(srv)
}

// shutdown closes the listener, and closes the connections that are still open after stopTimeout.
func shutdown(srv *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	err := srv.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		return srv.Close()
	}
	return err
}
