package ferrystandplatform_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryplatform"
	"cactusferry.dev/ferry/ferryplatform/ferryplatformtest"
	"cactusferry.dev/ferrystand/ferrystandplatform"
)

// TestClientAgainstServer checks that the ferryplatform client and the stand-in agree on the wire format.
func TestClientAgainstServer(t *testing.T) {
	s := ferrystandplatform.New(clockwork.NewRealClock())
	srv := httptest.NewServer(s)
	defer srv.Close()
	ctx := t.Context()
	c := ferryplatform.New(ferryplatform.ClientConfig{URL: srv.URL, Clock: clockwork.NewFakeClock()})

	_, err := c.Get(ctx, "services", "a")
	assert.ErrorType(t, err, &ferryplatform.NotFoundError{})
	v1, err := c.Put(ctx, "services", "a", ferryplatform.NoVersion, []byte("one"))
	assert.NilError(t, err)
	_, err = c.Put(ctx, "services", "a", ferryplatform.NoVersion, []byte("two"))
	assert.ErrorType(t, err, &ferryplatform.ConflictError{})
	v2, err := c.Put(ctx, "services", "a", v1, []byte("two"))
	assert.NilError(t, err)
	assert.Assert(t, v2 > v1)

	seen, err := c.Watch(ctx, "services", v1, time.Minute)
	assert.NilError(t, err)
	assert.DeepEqual(t, seen, ferryplatform.Changes{Version: v2, Objects: []ferryplatform.Object{{Kind: "services", Name: "a", Version: v2, Value: []byte("two")}}})

	s.SetFaults(ferryplatformtest.Faults{LoseAnswers: 1})
	_, err = c.Put(ctx, "services", "a", v2, []byte("three"))
	assert.Assert(t, errors.As(err, new(*ferryplatform.UnknownOutcomeError)))
	o, err := c.Get(ctx, "services", "a")
	assert.NilError(t, err)
	assert.Equal(t, string(o.Value), "three")

	assert.ErrorType(t, c.Delete(ctx, "services", "a", v2), &ferryplatform.ConflictError{})
	assert.NilError(t, c.Delete(ctx, "services", "a", o.Version))
	assert.ErrorType(t, c.Delete(ctx, "services", "a", o.Version), &ferryplatform.NotFoundError{})
	gone, err := c.Watch(ctx, "services", o.Version, time.Minute)
	assert.NilError(t, err)
	assert.Assert(t, gone.Objects[0].Deleted)

	s.SetInstance(ferryplatform.Instance{Name: "e1", Role: ferryplatform.RoleEntry, State: ferryplatform.StateLive})
	rows, err := c.Instances(ctx)
	assert.NilError(t, err)
	assert.Equal(t, rows[0].Name, "e1")

	s.SetFaults(ferryplatformtest.Faults{Outage: true})
	_, err = c.List(ctx, "services")
	assert.ErrorType(t, err, &ferryplatform.UnavailableError{})
	assert.Assert(t, !c.Up())
	assert.DeepEqual(t, c.Calls(), s.Calls())
}

func TestServerRefusals(t *testing.T) {
	tests := []struct {
		name, method, path, body string
		header                   http.Header
		status                   int
	}{
		{"no condition", http.MethodPut, "/v1/objects/k/n", "x", nil, 428},
		{"delete without condition", http.MethodDelete, "/v1/objects/k/n", "", nil, 428},
		{"invalid tag", http.MethodPut, "/v1/objects/k/n", "x", http.Header{"If-Match": {`"soon"`}}, 412},
		{"value too large", http.MethodPut, "/v1/objects/k/n", strings.Repeat("x", 1<<20+1), http.Header{"If-None-Match": {"*"}}, 413},
		{"value of exactly 1 MiB", http.MethodPut, "/v1/objects/k/n", strings.Repeat("x", 1<<20), http.Header{"If-None-Match": {"*"}}, 201},
		{"invalid after", http.MethodGet, "/v1/objects/k?after=x&wait=1s", "", nil, 400},
		{"wait too long", http.MethodGet, "/v1/objects/k?after=1&wait=1h", "", nil, 400},
		{"unknown fault", http.MethodPut, "/admin/faults", `{"Outrage":true}`, nil, 400},
		{"restore without a snapshot", http.MethodPut, "/admin/restore", "", nil, 409},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := httptest.NewRecorder()
			r := httptest.NewRequest(tt.method, tt.path, strings.NewReader(tt.body))
			r.Header = tt.header
			ferrystandplatform.New(clockwork.NewFakeClock()).ServeHTTP(w, r)
			assert.Equal(t, w.Code, tt.status, w.Body.String())
		})
	}
}
