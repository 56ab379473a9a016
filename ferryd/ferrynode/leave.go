package ferrynode

import (
	"context"
	"fmt"
	"slices"
	"time"

	"cactusferry.dev/ferry/ferryadmin"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypeer"
	"cactusferry.dev/ferry/ferryplatform"
	"cactusferry.dev/ferry/ferryservice"
)

const (
	topicLeaving ferrypeer.TopicName = "leaving"

	leaveInterval = 500 * time.Millisecond
	leaveTTL      = 24 * time.Hour
	maxLeaveMarks = 4096
)

// leaveSource says who marked an upstream.
type leaveSource string

// The sources of marks; only the source that set a mark takes it back, and an operator may take back any.
const (
	leaveList     leaveSource = "List"
	leaveUpstream leaveSource = "Upstream"
	leaveOperator leaveSource = "Operator"
)

// leaveMark says whether an upstream is leaving, as entries tell each other.
type leaveMark struct {
	Service  ferryid.ServiceName  `cbor:"1,keyasint"`
	Upstream ferryid.UpstreamName `cbor:"2,keyasint"`
	Leaving  bool                 `cbor:"3,keyasint"`
	Source   leaveSource          `cbor:"4,keyasint"`
	By       string               `cbor:"5,keyasint,omitempty"`
}

// Check returns an error for names that no upstream can have and sources that there are not.
func (m leaveMark) Check() error {
	if err := ferryid.CheckName(string(m.Service)); err != nil {
		return fmt.Errorf("leaving mark's service: %w", err)
	}
	if err := ferryid.CheckName(string(m.Upstream)); err != nil {
		return fmt.Errorf("leaving mark's upstream: %w", err)
	}
	if !slices.Contains([]leaveSource{leaveList, leaveUpstream, leaveOperator}, m.Source) {
		return fmt.Errorf("leaving mark's source is %q", m.Source)
	}
	return nil
}

func leaveKey(s ferryid.ServiceName, u ferryid.UpstreamName) string {
	return string(s) + "/" + string(u)
}

// mark sets a mark here at once and spreads it.
func (n *Node) mark(m leaveMark) {
	key := leaveKey(m.Service, m.Upstream)
	if old, ok := n.marks.Get(key); ok {
		if old.Value.Leaving == m.Leaving {
			return
		}
		if !m.Leaving && m.Source != leaveOperator && m.Source != old.Value.Source {
			return
		}
	} else if !m.Leaving {
		return
	}
	n.marks.Set(key, m, leaveTTL)
	n.events.Add("Leaving", key, "%t, said by %s %s", m.Leaving, m.Source, m.By)
	n.takeMarks(context.Background())
}

// markLeaving notes an upstream that said itself that it leaves.
func (n *Node) markLeaving(s ferryid.ServiceName, u ferryid.UpstreamName) {
	n.mark(leaveMark{Service: s, Upstream: u, Leaving: true, Source: leaveUpstream})
}

// leave carries out an operator's mark.
func (n *Node) leave(req ferryadmin.DrainRequest) error {
	d, ok := n.services.Document(req.Service)
	if !ok {
		return fmt.Errorf("there is no service %q", req.Service)
	}
	if _, ok := d.Upstreams.ByName(req.Upstream); !ok {
		return fmt.Errorf("service %q has no upstream %q", req.Service, req.Upstream)
	}
	n.mark(leaveMark{Service: req.Service, Upstream: req.Upstream, Leaving: req.Leaving, Source: leaveOperator, By: req.Operator})
	return nil
}

// markListed turns what the instance list says into marks, for entries that read it less often.
func (n *Node) markListed(list ferryplatform.Instances) {
	for _, in := range list {
		if in.Role == ferryplatform.RoleEntry {
			continue
		}
		d, ok := n.services.Document(in.Service)
		if !ok {
			continue
		}
		i := slices.IndexFunc(d.Upstreams, func(u ferryservice.Upstream) bool { return u.Address == in.Address })
		if i < 0 {
			continue
		}
		n.mark(leaveMark{Service: in.Service, Upstream: d.Upstreams[i].Name, Leaving: in.State == ferryplatform.StateLeaving, Source: leaveList})
	}
}

// takeMarks puts the marks of all entries to use.
func (n *Node) takeMarks(context.Context) {
	marks := map[string]bool{}
	for _, e := range n.marks.All() {
		marks[e.Key] = e.Value.Leaving
	}
	n.services.setMarks(marks)
}

// leaveSteering tells the other entries to send no new callers here.
func (n *Node) leaveSteering() {
	n.stopping.Store(true)
	n.peer.SetState(ferrypeer.Draining, ferrypeer.Load{})
}

const leaveTimeout = 2 * time.Second

// finish hands over and says goodbye to the peers once nothing is open.
func (n *Node) finish(ctx context.Context) error {
	if !n.releaseLeases(ctx) {
		n.log.Warn().Msg("leases were not released; their next holders wait them out")
	}
	if err := n.handOver(ctx); err != nil {
		n.log.Warn().Err(err).Msg("claims and tickets were not handed over; retries of them will be answered Unknown")
	}
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := n.peer.Leave(ctx); err != nil {
		n.log.Warn().Err(err).Msg("peers were not told")
	}
	n.log.Info().Msg("stopped")
	return nil
}
