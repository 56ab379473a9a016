package ferryrelay

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryguard"
	"cactusferry.dev/ferry/ferryplatform"
)

// brokenPlatform panics in each call.
type brokenPlatform struct{ ferryplatform.RemoteStore }

func (brokenPlatform) List(context.Context, string) (ferryplatform.Changes, error) {
	panic("invalid answer")
}

// TestPanicOfAPlatformCallStaysInItsDuty lists objects within a guard, as the duties of an entry do.
func TestPanicOfAPlatformCallStaysInItsDuty(t *testing.T) {
	r := New(Config{
		Platform: brokenPlatform{}, Clock: clockwork.NewRealClock(), Log: zerolog.Nop(),
		Reader: func() (Reader, bool) { return Reader{}, false },
	})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	err := ferryguard.New(ferryguard.Config{}).Run("duty", "", func() { _, _ = r.List(ctx, "k") })
	assert.ErrorContains(t, err, "invalid answer")
}
