package ferryplatform_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferrymemory"
	"cactusferry.dev/ferry/ferryplatform"
)

// TestEndlessListEndsAtTheBudget lists objects from a platform whose answer never ends.
func TestEndlessListEndsAtTheBudget(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for piece := make([]byte, 16<<10); ; {
			if _, err := w.Write(piece); err != nil {
				return
			}
		}
	}))
	defer srv.Close()
	memory := ferrymemory.New(ferrymemory.Config{Size: 1 << 20})
	c := ferryplatform.New(ferryplatform.ClientConfig{URL: srv.URL, Memory: memory})
	_, err := c.List(t.Context(), "k")
	assert.Equal(t, errorKind(err), "Unavailable")
	assert.ErrorContains(t, err, "no memory left")
	assert.Equal(t, memory.Taken(), ferrymemory.Bytes(0))
}
