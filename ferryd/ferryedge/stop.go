package ferryedge

import (
	"context"
	"os"
	"time"
)

const (
	// lingerShare is the part of the grace during which callers with an older answer are still served. The
	// rest is left for the last of them to finish.
	lingerShare = 0.35
	// exitMargin is reserved for the exit within the grace.
	exitMargin = 300 * time.Millisecond
	// answerMargin is reserved before that for the last answers to reach their callers.
	answerMargin = 200 * time.Millisecond
	// leaveTimeout bounds the notification of the peers. Links take a few milliseconds.
	leaveTimeout = 500 * time.Millisecond
	// cutTime is the part of exitMargin in which requests that did not end within the grace are logged and their
	// connections closed, and flushTime the part for the end of the process itself.
	cutTime   = 150 * time.Millisecond
	flushTime = 50 * time.Millisecond
)

// stop waits for a signal and then stops the entry without aborting open work.
//
// First the entry is no longer ready, so that no callers are sent here. Callers that still arrive are served
// for a while, unless the process may end before their answer. Then idle connections are closed, and the process ends
// with the last answer. It returns when the stop began, or zero if the context ended before.
func (e *Edge) stop(ctx context.Context, signals <-chan os.Signal) time.Time {
	select {
	case <-ctx.Done():
		return time.Time{}
	case sig := <-signals:
		e.cfg.Log.Info().Str("Signal", sig.String()).Msg("planned stop requested by signal")
	}
	began := e.cfg.Clock.Now()
	e.setState(StateStopping)
	linger := time.Duration(lingerShare * float64(e.cfg.Objectives.Grace))
	e.forwarder.Stop(began.Add(linger), began.Add(e.cfg.Objectives.Grace-exitMargin-answerMargin))
	e.pause(ctx, min(linger, e.cfg.Objectives.AnswerLifetime))
	e.ingress.Stop()
	e.pause(ctx, linger-e.cfg.Clock.Since(began))
	_ = e.callerListener.Close()
	waitCtx, cancel := context.WithTimeout(ctx, e.cfg.Objectives.Grace-exitMargin-e.cfg.Clock.Since(began))
	defer cancel()
	select {
	case <-e.accepted:
	case <-waitCtx.Done():
	}
	err := e.ingress.Wait(waitCtx)
	conns, calls := e.ingress.Open()
	e.cfg.Log.Info().Dur("Took", e.cfg.Clock.Since(began)).Int64("OpenConnections", conns).Int64("OpenCalls", calls).AnErr("Left", err).Msg("planned stop finished")
	return began
}

// announceDeparture notifies the peers of a planned stop. The requests that did not end within the grace are cut meanwhile, since
// one after the other would leave no time for the end of the process.
func (e *Edge) announceDeparture(began time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), min(leaveTimeout, e.cfg.Objectives.Grace-e.cfg.Clock.Since(began)-cutTime-flushTime))
	defer cancel()
	if err := e.leave(ctx); err != nil {
		e.cfg.Log.Info().Err(err).Msg("could not notify all peers of the departure")
	}
}

// awaitCut waits until the requests that the end of the process has cancelled have ended, so that each is logged, and no
// answer without a length looks complete.
func (e *Edge) awaitCut() {
	<-e.accepted
	e.ingress.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), cutTime)
	defer cancel()
	if err := e.ingress.Wait(ctx); err != nil {
		conns, calls := e.ingress.Open()
		e.cfg.Log.Warn().Int64("OpenConnections", conns).Int64("OpenCalls", calls).Msg("process ends before its requests")
	}
}
