package ferrynode

import (
	"context"
	"os"
	"time"

	"github.com/ansel1/merry/v2"

	"cactusferry.dev/ferry/ferryoutcome"
)

const stopInterval = 20 * time.Millisecond

// refuse returns a problem while new calls are not taken here.
func (n *Node) refuse() *ferryoutcome.Problem {
	switch n.state() {
	case StateReady:
		return nil
	case StateStarting:
		return ferryoutcome.New(ferryoutcome.KindUnavailable, ferryoutcome.NotRun, "This entry has no configuration yet.").After(time.Second)
	}
	p := ferryoutcome.New(ferryoutcome.KindDraining, ferryoutcome.NotRun, "This entry is stopping; use another one.").After(time.Second)
	p.Entries = n.otherEntries()
	return p
}

// stop takes no new calls after the grace, waits for what is open, and ends.
func (n *Node) stop(ctx context.Context, again <-chan os.Signal) error {
	n.leaveSteering()
	grace := n.clock.After(time.Duration(n.cfg.Stop.Grace))
	var limit <-chan time.Time
	if n.cfg.Stop.Limit > 0 {
		limit = n.clock.After(time.Duration(n.cfg.Stop.Limit))
	}
	var closed <-chan struct{}
	poll := n.clock.NewTicker(stopInterval)
	defer poll.Stop()
	for {
		select {
		case <-grace:
			grace = nil
			n.setState(StateDraining)
		case <-poll.Chan():
			streams, calls := n.callers.Open()
			if grace == nil && closed == nil && streams+calls == 0 {
				closed = n.closeCallers(ctx)
			}
		case <-closed:
			return n.finish(ctx)
		case <-again:
			streams, calls := n.callers.Open()
			n.log.Warn().Int("OpenStreams", streams).Int("OpenCalls", calls).Msg("still open")
		case <-limit:
			streams, calls := n.callers.Open()
			return merry.Errorf("stop: the limit of %s passed with %d streams and %d calls open", time.Duration(n.cfg.Stop.Limit), streams, calls)
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// closeCallers closes the callers' listener and receives once every answer has left, also of calls that came at the last moment.
func (n *Node) closeCallers(ctx context.Context) <-chan struct{} {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		if err := n.callersHTTP.Shutdown(ctx); err != nil {
			n.log.Warn().Err(err).Msg("callers' connections were not closed in order")
		}
	}()
	return closed
}
