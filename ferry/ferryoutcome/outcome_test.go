package ferryoutcome

import (
	"errors"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

func TestProblemResponse(t *testing.T) {
	w := httptest.NewRecorder()
	New(KindOverloaded, NotRun, "All places are taken.").WithRetryAfter(1500 * time.Millisecond).WithCause(errors.New("secret")).Write(w)
	assert.Equal(t, w.Code, 503)
	assert.Equal(t, w.Header().Get("Retry-After"), "2")
	assert.Equal(t, w.Header().Get("Content-Type"), ContentType)
	assert.Equal(t, w.Header().Get(Header), "NotRun")
	golden.Assert(t, w.Body.String(), "problem.golden")
}

func TestOfFailure(t *testing.T) {
	assert.Equal(t, OfFailure(PhaseNotConnected), NotRun)
	assert.Equal(t, OfFailure(PhaseWriting), Unknown)
	assert.Equal(t, OfFailure(PhaseAnswered), Ran)
	assert.Equal(t, Of(fmt.Errorf("around: %w", New(KindTimeout, Ran, "x"))), Ran)
	assert.Equal(t, Of(errors.New("other")), Unknown)
}
