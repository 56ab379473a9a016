package ferryrelay

import (
	"context"
	"time"
)

// outcome is the outcome of one call to the platform.
type outcome[T any] struct {
	result T
	err    error
	// panicked is the value of a panic of the call.
	panicked any
}

// get returns the outcome; a panic of the call continues in the goroutine that waits for it.
func (o outcome[T]) get() (T, error) {
	if o.panicked != nil {
		panic(o.panicked)
	}
	return o.result, o.err
}

// hedge calls the platform, and once more on a new connection if there is no answer after soon: an open connection may
// have fallen silent for good while new ones work. It returns the first answer. The second call is told that it is one.
//
// While the platform is unreachable there is no second call.
func hedge[T any](ctx context.Context, r *Relay, soon time.Duration, call func(ctx context.Context, again bool) (T, error)) (T, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	outcomes := make(chan outcome[T], 2)
	begin := func(again bool) {
		go func() {
			var o outcome[T]
			defer func() {
				o.panicked = recover()
				outcomes <- o
			}()
			o.result, o.err = call(ctx, again)
		}()
	}
	begin(false)
	timer := r.cfg.Clock.NewTimer(soon)
	defer timer.Stop()
	select {
	case o := <-outcomes:
		return o.get()
	case <-timer.Chan():
	}
	if !r.PlatformReachable() {
		o := <-outcomes
		return o.get()
	}
	r.counts.hedged.Inc(1)
	r.cfg.Log.Info().Dur("After", soon).Msg("platform has not answered; calling it again on a new connection")
	r.cfg.Platform.Renew()
	begin(true)
	o := <-outcomes
	if o.err != nil && !isAnswer(o.err) {
		o = <-outcomes
	}
	return o.get()
}
