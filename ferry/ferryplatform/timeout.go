package ferryplatform

import (
	"context"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"
)

// timeoutError says that a call took longer than it may.
type timeoutError struct{ after time.Duration }

func (e *timeoutError) Error() string { return fmt.Sprintf("no answer after %s", e.after) }

// withTimeout ends a context on the clock; unlike clockwork's own, its Err never blocks on a fake clock.
func withTimeout(ctx context.Context, clock clockwork.Clock, d time.Duration) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := clock.AfterFunc(d, func() { cancel(&timeoutError{d}) })
	return ctx, func() {
		t.Stop()
		cancel(context.Canceled)
	}
}
