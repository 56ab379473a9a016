package ferrynode

import (
	"context"
	"fmt"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferryd/ferryoperator"
)

// markLeaving keeps new work from an upstream that said itself that it leaves.
func (n *Node) markLeaving(s ferryid.ServiceName, u ferryid.UpstreamName) {
	n.setLeaving(s, u, true)
}

// leave carries out an operator's mark.
func (n *Node) leave(req ferryoperator.LeaveRequest) error {
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

func (n *Node) leaveSteering() {}

func (n *Node) finish(context.Context) error {
	n.log.Info().Msg("stopped")
	return nil
}
