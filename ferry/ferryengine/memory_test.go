package ferryengine

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferrymemory"
)

// TestReportsOfEnginesShareABudget reads a usual and a long report while other reports have taken the budget.
func TestReportsOfEnginesShareABudget(t *testing.T) {
	padding := ""
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(Load{Name: "e", Incarnation: "1", State: StateLive})
		_, _ = w.Write([]byte(padding))
	}))
	defer srv.Close()
	memory := ferrymemory.New(ferrymemory.Config{Size: 1 << 20})
	c := New(ClientConfig{Memory: memory})
	address := srv.Listener.Addr().String()
	others := memory.Hold()
	assert.Assert(t, others.Take(1<<20))
	_, err := c.Load(t.Context(), address)
	assert.NilError(t, err)
	padding = strings.Repeat(" ", 64<<10)
	_, err = c.Load(t.Context(), address)
	var exhausted *ferrymemory.ExhaustedError
	assert.Assert(t, errors.As(err, &exhausted), "%v", err)
	others.Release()
	_, err = c.Load(t.Context(), address)
	assert.NilError(t, err)
	assert.Equal(t, memory.Taken(), ferrymemory.Bytes(0))
}
