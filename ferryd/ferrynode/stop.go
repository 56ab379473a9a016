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

const leaveTimeout = 2 * time.Second

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

// stop waits for a signal, stops as planned, and returns an error only if open calls were left.
func (n *Node) stop(ctx context.Context, signals <-chan os.Signal) error {
	stopper := &ferrydrain.Stopper{
		Clock: n.clock,
		Stop: ferrydrain.NewStop(ferrydrain.StopConfig{
			Grace: time.Duration(n.cfg.Stop.Grace), Limit: time.Duration(n.cfg.Stop.Limit),
		}),
		Hooks: ferrydrain.Hooks{
			Open:          n.open,
			LeaveSteering: n.leaveSteering,
			RefuseNew:     func() { n.setState(StateDraining) },
			ReportOpen: func(o ferrydrain.Open) {
				n.log.Warn().Int("OpenStreams", o.Streams).Int("OpenCalls", o.Calls).Msg("still open")
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
	n.goodbye(ctx)
	if left.Open != (ferrydrain.Open{}) {
		return merry.Errorf("stop: the limit of %s passed: %s", time.Duration(n.cfg.Stop.Limit), left)
	}
	if len(left.Tasks) > 0 {
		n.log.Warn().Str("Left", left.String()).Msg("stopped, with something left undone")
		return nil
	}
	n.log.Info().Msg("stopped")
	return nil
}

func (n *Node) open() ferrydrain.Open {
	streams, calls := n.callers.Open()
	return ferrydrain.Open{Streams: streams, Calls: calls}
}

// leaveSteering tells the other entries to send no new callers here.
func (n *Node) leaveSteering() {
	n.log.Info().Msg("planned stop")
	n.stopping.Store(true)
	n.peer.SetState(ferrypeer.Draining, ferrypeer.Load{})
}

// goodbye closes the callers' listener once every answer has left, also those of the last moment, and leaves the peers.
func (n *Node) goodbye(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := n.callersHTTP.Shutdown(ctx); err != nil {
		n.log.Warn().Err(err).Msg("callers' connections were not closed in order")
	}
	if err := n.peer.Leave(ctx); err != nil {
		n.log.Warn().Err(err).Msg("peers were not told")
	}
}
