package ferryplatform_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryplatform"
)

var start = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

// errorKind returns a short name for the type of an error.
func errorKind(err error) string {
	switch {
	case err == nil:
		return "OK"
	case errors.As(err, new(*ferryplatform.NotFoundError)):
		return "NotFound"
	case errors.As(err, new(*ferryplatform.ConflictError)):
		return "Conflict"
	case errors.As(err, new(*ferryplatform.UnknownOutcomeError)):
		return "Unknown"
	case errors.As(err, new(*ferryplatform.BudgetError)):
		return "Budget"
	case errors.As(err, new(*ferryplatform.UnavailableError)):
		return "Unavailable"
	case errors.As(err, new(*ferryplatform.RefusedError)):
		return "Refused"
	}
	return err.Error()
}

func TestClientClassifiesAnswers(t *testing.T) {
	abort := func(http.ResponseWriter) { panic(http.ErrAbortHandler) }
	status := func(code int) func(http.ResponseWriter) {
		return func(w http.ResponseWriter) { w.WriteHeader(code) }
	}
	tests := []struct {
		name   string
		answer func(http.ResponseWriter)
		read   string
		write  string
	}{
		{"good", func(w http.ResponseWriter) { w.Header().Set("ETag", `"7"`) }, "OK", "OK"},
		{"created", func(w http.ResponseWriter) { w.Header().Set("ETag", `"7"`); w.WriteHeader(201) }, "OK", "OK"},
		{"no tag", status(200), "Unavailable", "Unknown"},
		{"tag zero", func(w http.ResponseWriter) { w.Header().Set("ETag", `"0"`) }, "Unavailable", "Unknown"},
		{"not found", status(404), "NotFound", "Refused"},
		{"condition failed", status(412), "Refused", "Conflict"},
		{"too large", status(413), "Refused", "Refused"},
		{"no condition", status(428), "Refused", "Refused"},
		{"too many", status(429), "Unavailable", "Unavailable"},
		{"outage", status(503), "Unavailable", "Unavailable"},
		{"bad gateway", status(502), "Unavailable", "Unknown"},
		{"internal", status(500), "Unavailable", "Unknown"},
		{"redirect", func(w http.ResponseWriter) { w.Header().Set("Location", "/"); w.WriteHeader(307) }, "Unavailable", "Unknown"},
		{"connection aborted", abort, "Unavailable", "Unknown"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var arrived atomic.Int64
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				arrived.Add(1)
				_, _ = io.Copy(io.Discard, r.Body)
				tt.answer(w)
			}))
			defer srv.Close()
			c := ferryplatform.New(ferryplatform.ClientConfig{URL: srv.URL, Clock: clockwork.NewFakeClockAt(start)})
			_, err := c.Get(t.Context(), "services", "a")
			assert.Equal(t, errorKind(err), tt.read)
			reads := arrived.Load()
			_, err = c.Put(t.Context(), "services", "a", 3, []byte("x"))
			assert.Equal(t, errorKind(err), tt.write)
			assert.Equal(t, arrived.Load()-reads, int64(1), "a write must be sent exactly once")
			assert.Equal(t, c.Calls().Put, int64(1))
		})
	}
}

func TestWriteWithoutConnectionIsUnavailable(t *testing.T) {
	// Nothing listens on port 1, and it is outside the range of ephemeral ports.
	c := ferryplatform.New(ferryplatform.ClientConfig{URL: "http://127.0.0.1:1"})
	_, err := c.Put(t.Context(), "services", "a", 3, []byte("x"))
	assert.Equal(t, errorKind(err), "Unavailable")
	assert.Assert(t, !c.Up())
}

func TestClientTimeout(t *testing.T) {
	arrived := make(chan struct{}, 4)
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		arrived <- struct{}{}
		<-r.Context().Done()
	}))
	defer srv.Close()
	clock := clockwork.NewFakeClockAt(start)
	c := ferryplatform.New(ferryplatform.ClientConfig{URL: srv.URL, Clock: clock, Timeout: time.Second})
	tests := []struct {
		name  string
		after time.Duration
		want  string
		call  func(context.Context) error
	}{
		{"get", time.Second, "Unavailable", func(ctx context.Context) error { _, err := c.Get(ctx, "k", "n"); return err }},
		{"put", time.Second, "Unknown", func(ctx context.Context) error { _, err := c.Put(ctx, "k", "n", 1, nil); return err }},
		{"delete", time.Second, "Unknown", func(ctx context.Context) error { return c.Delete(ctx, "k", "n", 1) }},
		{"watch", 11 * time.Second, "Unavailable", func(ctx context.Context) error {
			_, err := c.Watch(ctx, "k", 1, 10*time.Second)
			return err
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			done := make(chan error, 1)
			go func() { done <- tt.call(t.Context()) }()
			<-arrived
			clock.Advance(tt.after - time.Millisecond)
			select {
			case err := <-done:
				t.Fatalf("call ended before its timeout: %v", err)
			default:
			}
			clock.Advance(time.Millisecond)
			assert.Equal(t, errorKind(<-done), tt.want)
		})
	}
}

func TestClientBudget(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("ETag", `"1"`) }))
	defer srv.Close()
	clock := clockwork.NewFakeClockAt(start)
	c := ferryplatform.New(ferryplatform.ClientConfig{URL: srv.URL, Clock: clock, Budget: ferryplatform.Budget{PerSecond: 2, Burst: 3}})
	get := func() error { _, err := c.Get(t.Context(), "k", "n"); return err }
	for range 3 {
		assert.NilError(t, get())
	}
	var over *ferryplatform.BudgetError
	assert.Assert(t, errors.As(get(), &over))
	assert.Equal(t, over.RetryAfter, 500*time.Millisecond)
	assert.Equal(t, c.Calls().Get, int64(3), "a call over budget must not be sent")
	clock.Advance(over.RetryAfter)
	assert.NilError(t, get())
	c.SetBudget(ferryplatform.Budget{PerSecond: 100, Burst: 100})
	clock.Advance(time.Second)
	for range 100 {
		assert.NilError(t, get())
	}
	assert.Equal(t, c.OverBudget(), int64(1))
}

func TestClientLimitsAnswerSize(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("ETag", `"1"`)
		_, _ = io.Copy(w, io.LimitReader(zeros{}, 2<<20))
	}))
	defer srv.Close()
	c := ferryplatform.New(ferryplatform.ClientConfig{URL: srv.URL, Clock: clockwork.NewFakeClockAt(start)})
	_, err := c.Get(t.Context(), "k", "n")
	assert.ErrorContains(t, err, "answer over 1048576 bytes")
	_, err = c.Put(t.Context(), "k", "n", 1, make([]byte, 1<<20+1))
	assert.Equal(t, errorKind(err), "Refused")
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

func TestDecodeChangesValidation(t *testing.T) {
	tests := []struct{ name, body, want string }{
		{"good", `{"Version":2,"Objects":[{"Kind":"k","Name":"n","Version":2,"Value":"eA=="}]}`, ""},
		{"other kind", `{"Version":2,"Objects":[{"Kind":"j","Name":"n","Version":2}]}`, "among those of kind"},
		{"no name", `{"Version":2,"Objects":[{"Kind":"k","Version":2}]}`, "without a name"},
		{"no version", `{"Version":2,"Objects":[{"Kind":"k","Name":"n"}]}`, "at version 0"},
		{"newer than the answer", `{"Version":2,"Objects":[{"Kind":"k","Name":"n","Version":3}]}`, "at version 3 in an answer at version 2"},
		{"truncated body", `{"Version":2,"Obj`, "unexpected end"},
		{"negative", `{"Version":-2}`, "cannot unmarshal"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := ferryplatform.DecodeChanges("k", []byte(tt.body))
			if tt.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, tt.want)
		})
	}
}

func FuzzDecodeChanges(f *testing.F) {
	f.Add([]byte(`{"Version":2,"Objects":[{"Kind":"k","Name":"n","Version":2,"Value":"eA=="}]}`))
	f.Add([]byte(strings.Repeat(`[`, 20000)))
	f.Fuzz(func(t *testing.T, b []byte) {
		out, err := ferryplatform.DecodeChanges("k", b)
		if err != nil {
			return
		}
		for _, o := range out.Objects {
			if o.Version > out.Version || o.Kind != "k" {
				t.Fatal(fmt.Sprint(o))
			}
		}
	})
}

func FuzzDecodeInstances(f *testing.F) {
	f.Add([]byte(`[{"Name":"a","Role":"Entry","State":"Live","Layers":{"From":0,"To":4}}]`))
	f.Fuzz(func(t *testing.T, b []byte) {
		out, err := ferryplatform.DecodeInstances(b)
		for _, in := range out {
			if err == nil && in.Name == "" {
				t.Fatal("accepted an instance without a name")
			}
		}
	})
}

// TestRenewedClientUsesNewConnections guards against calls on idle connections that have fallen silent.
func TestRenewedClientUsesNewConnections(t *testing.T) {
	var opened atomic.Int32
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("ETag", `"7"`) }))
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	s.Start()
	defer s.Close()
	c := ferryplatform.New(ferryplatform.ClientConfig{URL: s.URL})
	for _, want := range []int32{1, 1, 2} {
		if want == 2 {
			c.Renew()
		}
		_, err := c.Get(t.Context(), "k", "x")
		assert.NilError(t, err)
		assert.Equal(t, opened.Load(), want)
	}
}
