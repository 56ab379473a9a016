package ferrynode

import (
	"context"
	"fmt"
	"slices"
	"time"

	"cactusferry.dev/ferry/ferryadmin"
	"cactusferry.dev/ferry/ferrydrain"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypeer"
	"cactusferry.dev/ferry/ferryplatform"
	"cactusferry.dev/ferry/ferryservice"
)

const (
	topicLeaving ferrypeer.TopicName = "leaving"

	leaveInterval = 500 * time.Millisecond
)

func upstreamKey(s ferryid.ServiceName, u ferryid.UpstreamName) string {
	return string(s) + "/" + string(u)
}

// leavingTopic returns the topic that replicates the marks of leaving upstreams.
func leavingTopic(ms *ferrydrain.Marks) ferrypeer.Topic {
	return ferrypeer.Topic{
		Name:        topicLeaving,
		Digest:      ms.Digest,
		Missing:     func(digest []byte) []ferrypeer.Item { return toItems(ms.Missing(digest)) },
		Apply:       func(it ferrypeer.Item) (bool, error) { return ms.Apply(it) },
		TakeChanged: func() []ferrypeer.Item { return toItems(ms.TakeChanged()) },
	}
}

func toItems(bs [][]byte) []ferrypeer.Item {
	out := make([]ferrypeer.Item, 0, len(bs))
	for _, b := range bs {
		out = append(out, b)
	}
	return out
}

// mark records locally and at the peers that an upstream is leaving.
func (n *Node) mark(s ferryid.ServiceName, u ferryid.UpstreamName, id ferryid.Incarnation, from ferrydrain.Source) {
	n.marks.Mark(s, u, id, from)
	n.publishMarks()
}

func (n *Node) publishMarks() {
	n.peer.Publish(topicLeaving)
	n.applyMarks(context.Background())
}

// markLeaving marks an upstream that announced its planned stop.
func (n *Node) markLeaving(s ferryid.ServiceName, u ferryid.UpstreamName) {
	n.mark(s, u, "", ferrydrain.SourceUpstream)
}

// setLeaving sets or clears the leaving mark of an upstream as requested by an operator.
func (n *Node) setLeaving(req ferryadmin.DrainRequest) error {
	d, ok := n.services.Document(req.Service)
	if !ok {
		return fmt.Errorf("there is no service %q", req.Service)
	}
	if _, ok := d.Upstreams.ByName(req.Upstream); !ok {
		return fmt.Errorf("service %q has no upstream %q", req.Service, req.Upstream)
	}
	n.events.Add("Leaving", upstreamKey(req.Service, req.Upstream), "%t, said by operator %s", req.Leaving, req.Operator)
	if req.Leaving {
		n.mark(req.Service, req.Upstream, "", ferrydrain.SourceOperator)
		return nil
	}
	n.marks.Clear(req.Service, req.Upstream)
	n.publishMarks()
	return nil
}

// markListed marks upstreams that are leaving according to the instance list.
// The marks also reach entries that read the list less often.
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
		name := d.Upstreams[i].Name
		if in.Incarnation != "" {
			n.marks.Seen(in.Service, name, in.Incarnation)
		}
		if in.State == ferryplatform.StateLeaving {
			n.mark(in.Service, name, in.Incarnation, ferrydrain.SourceList)
		}
	}
}

// applyMarks applies the leaving marks of all entries to the services.
func (n *Node) applyMarks(context.Context) {
	for _, key := range n.services.setMarks(n.marks) {
		n.events.Add("LeavingSeen", key, "no new work from here")
	}
}
