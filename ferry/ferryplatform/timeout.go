package ferryplatform

import (
	"context"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"
)

// timeoutError reports a call that exceeded its timeout.
type timeoutError struct{ after time.Duration }

func (e *timeoutError) Error() string { return fmt.Sprintf("no answer after %s", e.after) }

// withTimeout is context.WithTimeout on the given clock. Unlike the contexts of package clockwork, the Err of
// the returned context never blocks on a fake clock.
func withTimeout(ctx context.Context, clock clockwork.Clock, d time.Duration) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := clock.AfterFunc(d, func() { cancel(&timeoutError{d}) })
	return ctx, func() {
		t.Stop()
		cancel(context.Canceled)
	}
}
