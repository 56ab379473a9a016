package ferryedge

import (
	"context"
	"os"
	"time"
)

const (
	// lingerShare is the part of the grace in which callers with an older answer are still served; what comes last has the rest to end.
	lingerShare = 0.35
	// exitMargin is kept free of the grace for the exit itself.
	exitMargin = 300 * time.Millisecond
	// leaveTimeout is how long the peers may take to hear that this entry goes; links take a few milliseconds.
	leaveTimeout = 500 * time.Millisecond
)

// stop waits for a signal and then takes the entry out of use without cutting anything off.
//
// First it is not ready any more, so that no callers are sent here; those that still come are served for a while;
// then idle connections are closed, and the process ends with the last answer.
func (e *Edge) stop(ctx context.Context, signals <-chan os.Signal) {
	select {
	case <-ctx.Done():
		return
	case sig := <-signals:
		e.cfg.Log.Info().Str("Signal", sig.String()).Msg("planned stop")
	}
	began := e.cfg.Clock.Now()
	e.setState(StateStopping)
	linger := time.Duration(lingerShare * float64(e.cfg.Promise.Grace))
	e.pause(ctx, min(linger, e.cfg.Promise.AnswerLifetime))
	e.ingress.Stop()
	e.pause(ctx, linger-e.cfg.Clock.Since(began))
	_ = e.callers.Close()
	waiting, cancel := context.WithTimeout(ctx, e.cfg.Promise.Grace-exitMargin-e.cfg.Clock.Since(began))
	defer cancel()
	err := e.ingress.Wait(waiting)
	conns, calls := e.ingress.Open()
	e.cfg.Log.Info().Dur("Took", e.cfg.Clock.Since(began)).Int64("OpenConnections", conns).Int64("OpenCalls", calls).AnErr("Left", err).Msg("stopped")
	leaving, cancel := context.WithTimeout(waiting, leaveTimeout)
	defer cancel()
	if err := e.peer.Leave(leaving); err != nil {
		e.cfg.Log.Info().Err(err).Msg("peers not told")
	}
}
