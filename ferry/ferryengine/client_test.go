package ferryengine_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryengine"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
)

func runRequest(address string) ferryengine.RunRequest {
	return ferryengine.RunRequest{
		Stream: "s", Epoch: 1, MaxTokens: 2,
		Stages: ferryengine.Stages{{Address: address, Layers: ferryid.LayerRange{To: 4}}},
	}
}

// startServer starts a server that runs the script on each connection, and returns its address.
func startServer(tb testing.TB, script func(c net.Conn)) string {
	tb.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(tb, err)
	tb.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				script(c)
			}()
		}
	}()
	return ln.Addr().String()
}

func readRequest(c net.Conn) {
	if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
		_, _ = io.Copy(io.Discard, r.Body)
	}
}

const okHeader = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

func TestOutcomeByPhase(t *testing.T) {
	chunk := func(s string) string { return okHeader + string(hex(len(s))) + "\r\n" + s + "\r\n" }
	for _, tt := range []struct {
		name   string
		script func(c net.Conn)
		want   ferryoutcome.Outcome
	}{
		{"closed before the answer", readRequest, ferryoutcome.Unknown},
		{"truncated answer header", func(c net.Conn) {
			readRequest(c)
			_, _ = io.WriteString(c, "HTTP/1.1 2")
		}, ferryoutcome.Ran},
		{"truncated body", func(c net.Conn) {
			readRequest(c)
			_, _ = io.WriteString(c, chunk(`{"Epoch":1,"Rea`))
		}, ferryoutcome.Ran},
		{"invalid item", func(c net.Conn) {
			readRequest(c)
			_, _ = io.WriteString(c, chunk(`{"Epoch":0,"Ready":true}`+"\n"))
		}, ferryoutcome.Ran},
		{"line too long", func(c net.Conn) {
			readRequest(c)
			_, _ = io.WriteString(c, chunk(strings.Repeat("x", 1<<17)))
		}, ferryoutcome.Ran},
		{"status 500", func(c net.Conn) {
			readRequest(c)
			_, _ = io.WriteString(c, "HTTP/1.1 500 no\r\nContent-Length: 0\r\n\r\n")
		}, ferryoutcome.Ran},
	} {
		s, err := ferryengine.New(ferryengine.ClientConfig{Clock: clockwork.NewFakeClock()}).Run(context.Background(), runRequest(startServer(t, tt.script)))
		if err == nil {
			_, err = s.Next()
			assert.NilError(t, s.Close())
		}
		var dispatch *ferryengine.DispatchError
		assert.Assert(t, errors.As(err, &dispatch), "%s: %v", tt.name, err)
		assert.Equal(t, dispatch.Outcome(), tt.want, "%s: %v", tt.name, err)
	}
}

func hex(n int) []byte {
	const digits = "0123456789abcdef"
	var b []byte
	for ; n > 0; n /= 16 {
		b = append([]byte{digits[n%16]}, b...)
	}
	return b
}

func TestCancelledBeforeConnectIsNotRun(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := ferryengine.New(ferryengine.ClientConfig{Clock: clockwork.NewFakeClock()}).Run(ctx, runRequest(startServer(t, readRequest)))
	var dispatch *ferryengine.DispatchError
	assert.Assert(t, errors.As(err, &dispatch))
	assert.Equal(t, dispatch.Outcome(), ferryoutcome.NotRun)
}

func TestIdleTimeout(t *testing.T) {
	clock := clockwork.NewFakeClock()
	read := make(chan struct{})
	address := startServer(t, func(c net.Conn) {
		readRequest(c)
		close(read)
		_, _ = io.Copy(io.Discard, c)
	})
	go func() {
		<-read
		clock.Advance(time.Second)
	}()
	_, err := ferryengine.New(ferryengine.ClientConfig{Clock: clock, IdleTimeout: time.Second}).Run(context.Background(), runRequest(address))
	var silent *ferryengine.IdleTimeoutError
	assert.Assert(t, errors.As(err, &silent), "%v", err)
	var dispatch *ferryengine.DispatchError
	assert.Assert(t, errors.As(err, &dispatch))
	assert.Equal(t, dispatch.Outcome(), ferryoutcome.Unknown)
}

func TestCallResults(t *testing.T) {
	body, status, header := "", http.StatusOK, ""
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if header != "" {
			w.Header().Set(ferryoutcome.Header, header)
		}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}))
	defer srv.Close()
	c := ferryengine.New(ferryengine.ClientConfig{Clock: clockwork.NewFakeClock()})
	address := strings.TrimPrefix(srv.URL, "http://")
	load := func() error { _, err := c.Load(context.Background(), address); return err }
	order := func() error {
		return c.Order(context.Background(), address, ferryengine.Order{
			Fence: 1, Service: "herd-llm", Layers: ferryid.LayerRange{To: 1}, State: ferryengine.StateLive,
		})
	}
	kv := func() error { _, err := c.ExportKV(context.Background(), address, "s"); return err }
	events := func() error { _, err := c.CacheEvents(context.Background(), address, 0); return err }
	const good = `{"Name":"e","Incarnation":"i","Layers":{"From":0,"To":4},"State":"Live","RunningStreams":1,"OutstandingTokens":5,"TokensPerSecond":10.5,"At":"2026-12-04T00:00:00Z"}`
	for _, tt := range []struct {
		name   string
		call   func() error
		status int
		header string
		body   string
		want   any
	}{
		{"load", load, 200, "", good, nil},
		{"negative work", load, 200, "", strings.Replace(good, `"OutstandingTokens":5`, `"OutstandingTokens":-5`, 1), new(*ferryengine.FieldError)},
		{"huge rate", load, 200, "", strings.Replace(good, "10.5", "1e300", 1), new(*ferryengine.FieldError)},
		{"not a number", load, 200, "", strings.Replace(good, "10.5", "NaN", 1), new(*ferryengine.DispatchError)},
		{"unknown state", load, 200, "", strings.Replace(good, "Live", "Asleep", 1), new(*ferryengine.FieldError)},
		{"refused", load, 503, "NotRun", `{"type":"Draining"}`, new(*ferryengine.RefusedError)},
		{"old fence", order, 409, "", `{"Fence":7}`, new(*ferryengine.FenceError)},
		{"order", order, 204, "", "", nil},
		{"no cache", kv, 404, "", `{}`, new(*ferryengine.NotFoundError)},
		{"events", events, 200, "", `{"Events":[{"Seq":1,"Prefix":"a","Stored":true},{"Seq":3,"Prefix":"b"}]}`, nil},
		{"decreasing sequence", events, 200, "", `{"Events":[{"Seq":3},{"Seq":1}]}`, new(*ferryengine.FieldError)},
		{"body too long", events, 200, "", strings.Repeat(" ", 5<<20), new(*ferryengine.LineTooLongError)},
	} {
		status, header, body = tt.status, tt.header, tt.body
		err := tt.call()
		if tt.want == nil {
			assert.NilError(t, err, tt.name)
			continue
		}
		assert.Assert(t, err != nil && errors.As(err, tt.want), "%s: %v", tt.name, err)
	}
}
