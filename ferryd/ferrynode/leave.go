package ferrynode

import (
	"context"
	"fmt"
	"time"

	"cactusferry.dev/ferry/ferryadmin"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypeer"
)

const leaveTimeout = 2 * time.Second

// markLeaving keeps new work from an upstream that said itself that it leaves.
func (n *Node) markLeaving(s ferryid.ServiceName, u ferryid.UpstreamName) {
	n.setLeaving(s, u, true)
}

// leave carries out an operator's mark.
func (n *Node) leave(req ferryadmin.DrainRequest) error {
	if !n.setLeaving(req.Service, req.Upstream, req.Leaving) {
		return fmt.Errorf("there is no upstream %q of service %q", req.Upstream, req.Service)
	}
	return nil
}

func (n *Node) setLeaving(s ferryid.ServiceName, u ferryid.UpstreamName, leaving bool) bool {
	sv, ok := n.services.get(s)
	if !ok {
		return false
	}
	sv.table.SetLeaving(u, leaving)
	return true
}

// leaveSteering tells the other entries to send no new callers here.
func (n *Node) leaveSteering() {
	n.stopping.Store(true)
	n.peer.SetState(ferrypeer.Draining, ferrypeer.Load{})
}

// finish says goodbye to the peers once nothing is open.
func (n *Node) finish(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := n.peer.Leave(ctx); err != nil {
		n.log.Warn().Err(err).Msg("peers were not told")
	}
	n.log.Info().Msg("stopped")
	return nil
}
