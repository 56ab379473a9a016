package ferryclaim

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryoutcome"
	"cactusferry.dev/ferry/ferryplatform"
)

// A refusal must distinguish an unavailable platform from an exhausted request budget,
// also when the slot's owner made the platform call and the decision was forwarded.
func TestRefusalNamesItsCause(t *testing.T) {
	tests := []struct {
		name  string
		err   error
		kind  ferryoutcome.Kind
		after time.Duration
	}{
		{"platform unavailable", &ferryplatform.UnavailableError{Op: "put", Err: errLost}, ferryoutcome.KindPlatformDown, platformRetryAfter},
		{"budget exhausted", fmt.Errorf("put: %w", &ferryplatform.BudgetError{Op: "put", RetryAfter: 7 * time.Second}), ferryoutcome.KindOverloaded, 7 * time.Second},
		{"budget available within a second", &ferryplatform.BudgetError{Op: "put", RetryAfter: time.Millisecond}, ferryoutcome.KindOverloaded, progressRetryAfter},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			passed, ok := decisionOf(refused{err: tt.err}).verdict().(refused)
			assert.Assert(t, ok)
			for _, err := range []error{tt.err, passed.err} {
				var p *ferryoutcome.Problem
				assert.Assert(t, errors.As(claimFailed(err), &p))
				assert.Equal(t, p.Kind, tt.kind)
				assert.Equal(t, p.Outcome, ferryoutcome.NotRun)
				assert.Equal(t, p.RetryAfter, tt.after)
			}
		})
	}
}
