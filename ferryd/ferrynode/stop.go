package ferrynode

import (
	"context"
	"os"
	"time"

	"github.com/ansel1/merry/v2"

	"cactusferry.dev/ferry/ferrydrain"
	"cactusferry.dev/ferry/ferryoutcome"
	"cactusferry.dev/ferry/ferrypeer"
)

const shutdownTimeout = 2 * time.Second

// refuse returns a problem unless the node accepts new calls.
func (n *Node) refuse() *ferryoutcome.Problem {
	switch n.state() {
	case StateReady:
		return nil
	case StateStarting:
		return ferryoutcome.New(ferryoutcome.KindUnavailable, ferryoutcome.NotRun, "This entry has no configuration yet.").WithRetryAfter(time.Second)
	}
	p := ferryoutcome.New(ferryoutcome.KindDraining, ferryoutcome.NotRun, "This entry is stopping; use another one.").WithRetryAfter(time.Second)
	p.Entries = n.otherEntries()
	return p
}

// stop waits for a signal and performs the planned stop; it returns an error if calls were still open at the limit.
func (n *Node) stop(ctx context.Context, signals <-chan os.Signal) error {
	stopper := &ferrydrain.Stopper{
		Clock: n.clock,
		Stop: ferrydrain.NewStop(ferrydrain.StopConfig{
			Grace: time.Duration(n.cfg.Stop.Grace), Limit: time.Duration(n.cfg.Stop.Limit),
		}),
		Hooks: ferrydrain.Hooks{
			Open:          n.openCounts,
			LeaveSteering: n.leaveSteering,
			RefuseNew:     func() { n.setState(StateDraining) },
			ReportOpen: func(o ferrydrain.Open) {
				n.log.Warn().Int("OpenStreams", o.Streams).Int("OpenCalls", o.Calls).Msg("planned stop: streams or calls still open")
			},
			Tasks: map[ferrydrain.Task]func(context.Context) error{
				ferrydrain.TaskFlush:    n.claims.Flush,
				ferrydrain.TaskHandOver: n.handOver,
				ferrydrain.TaskLeases:   n.releaseLeases,
			},
		},
	}
	left, err := stopper.Run(ctx, signals)
	if err != nil {
		return err
	}
	n.shutdown(ctx)
	if left.Open != (ferrydrain.Open{}) {
		return merry.Errorf("planned stop exceeded its limit of %s: %s", time.Duration(n.cfg.Stop.Limit), left)
	}
	if len(left.Tasks) > 0 {
		n.log.Warn().Str("Left", left.String()).Msg("stopped with unfinished tasks")
		return nil
	}
	n.log.Info().Msg("stopped")
	return nil
}

func (n *Node) openCounts() ferrydrain.Open {
	streams, calls := n.callers.OpenCounts()
	return ferrydrain.Open{Streams: streams, Calls: calls}
}

// leaveSteering publishes the draining state, so that other entries steer no new callers to this one.
func (n *Node) leaveSteering() {
	n.log.Info().Msg("planned stop started")
	n.stopping.Store(true)
	n.peer.SetState(ferrypeer.Draining, ferrypeer.Load{})
}

// shutdown closes the callers' listener after all answers have been written and announces the stop to the peers.
func (n *Node) shutdown(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	if err := n.callersHTTP.Shutdown(ctx); err != nil {
		n.log.Warn().Err(err).Msg("callers' listener not shut down gracefully")
	}
	if err := n.peer.Leave(ctx); err != nil {
		n.log.Warn().Err(err).Msg("planned stop not announced to peers")
	}
}
