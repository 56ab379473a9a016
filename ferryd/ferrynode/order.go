package ferrynode

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"

	"cactusferry.dev/ferry/ferryduty"
	"cactusferry.dev/ferry/ferryengine"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrylease"
	"cactusferry.dev/ferry/ferryorder"
	"cactusferry.dev/ferry/ferrypeer"
)

const (
	askOrders     ferrypeer.AskKind = 5
	leaseInterval                   = time.Second
	// orderCandidates is the number of entries that read a service's lease: its holder and the standby.
	orderCandidates = 2
	releaseInterval = 50 * time.Millisecond
)

// serviceOrders brings the engines of one service to the target state of its document.
type serviceOrders struct {
	lease  *ferrylease.Lease
	orders *ferryorder.Orders
}

func dutyOrders(s ferryid.ServiceName) ferryduty.Duty {
	return ferryduty.Duty("orders " + string(s))
}

// dutyGroup returns the duty of reading one group of a service's engines.
// The first group is read by the entry that sends the orders.
func dutyGroup(s ferryid.ServiceName, group int) ferryduty.Duty {
	if group == 0 {
		return dutyOrders(s)
	}
	return ferryduty.Slot(dutyOrders(s), group)
}

// startOrders starts the orders of a service; only the holder of the lease sends orders.
func (n *Node) startOrders(ctx context.Context, s ferryid.ServiceName) *serviceOrders {
	lease := ferrylease.New(ferrylease.Config{Name: "orders-" + string(s), Self: n.self, Store: n.platform, Clock: n.clock})
	o := &serviceOrders{lease: lease, orders: ferryorder.New(ferryorder.Config{
		Tenure: lease, Engine: orderedEngines{n.engines}, Clock: n.clock, Readers: groupReaders{n},
	})}
	go func() { _ = lease.Run(ctx) }()
	go func() { _ = o.orders.Run(ctx) }()
	return o
}

// updateLeases requests or follows the orders lease of each service according to the current duties of this entry.
func (n *Node) updateLeases(context.Context) {
	ms := n.peer.Members()
	for _, sv := range n.services.all() {
		o := sv.orders.Load()
		if o == nil {
			continue
		}
		active := !n.stopping.Load()
		rank := slices.Index(ferryduty.Holders(ms, dutyOrders(sv.name), orderCandidates), n.cfg.Name)
		o.lease.Follow(active && rank > 0)
		o.lease.Want(active && holdsDuty(ms, dutyOrders(sv.name)))
	}
}

// holdsDuty reports whether this entry holds a duty; an entry without a known membership holds all duties.
func holdsDuty(ms ferrypeer.Members, d ferryduty.Duty) bool {
	return len(ms.List) == 0 || ferryduty.Holds(ms, d, 1)
}

// groupReaders reads groups of engines through the entries that hold the duty for them.
type groupReaders struct{ node *Node }

// ReadGroup returns the state of a group's engines, read by the group's reader.
func (r groupReaders) ReadGroup(ctx context.Context, a ferryorder.GroupAsk) (ferryorder.GroupAnswer, error) {
	n := r.node
	ms := n.peer.Members()
	names := ferryduty.Holders(ms, dutyGroup(a.Service, a.Group), 1)
	if len(names) == 0 || names[0] == n.cfg.Name {
		return n.readGroup(ctx, a)
	}
	i := slices.IndexFunc(ms.List, func(m ferrypeer.MemberInfo) bool { return m.Name == names[0] })
	var out ferryorder.GroupAnswer
	err := peerClient{n}.askPeer(ctx, ms.List[i].Incarnation, askOrders, a, &out)
	return out, merry.Prepend(err, "read engines by "+string(names[0]))
}

func (n *Node) readGroup(ctx context.Context, a ferryorder.GroupAsk) (ferryorder.GroupAnswer, error) {
	sv, ok := n.services.get(a.Service)
	if !ok || sv.orders.Load() == nil {
		return ferryorder.GroupAnswer{}, &ferryorder.GroupError{Service: a.Service, Group: a.Group}
	}
	return sv.orders.Load().orders.Read(ctx, a)
}

// answerOrders reads a group of engines for the entry that sends the orders.
func (n *Node) answerOrders(ctx context.Context, _ ferrypeer.Member, body []byte) ([]byte, error) {
	var a ferryorder.GroupAsk
	if err := cbor.Unmarshal(body, &a); err != nil {
		return nil, merry.Prepend(err, "ask for engines' state")
	}
	ans, err := n.readGroup(ctx, a)
	if err != nil {
		return nil, err
	}
	return encode(ans), nil
}

// releaseLeases waits until all leases are released, so that the next holders need not wait for their expiry.
func (n *Node) releaseLeases(ctx context.Context) error {
	n.updateLeases(ctx)
	for !n.released() {
		select {
		case <-ctx.Done():
			return merry.Prepend(ctx.Err(), "release leases")
		case <-n.clock.After(releaseInterval):
		}
	}
	return nil
}

func (n *Node) released() bool {
	for _, sv := range n.services.all() {
		if o := sv.orders.Load(); o != nil && !o.lease.Released() {
			return false
		}
	}
	return true
}

// orderedEngines adapts ferryengine.Client to ferryorder.Engine.
type orderedEngines struct{ engines *ferryengine.Client }

// Order sends the target state to an engine.
func (e orderedEngines) Order(ctx context.Context, address string, o ferryorder.Order) error {
	err := e.engines.Order(ctx, address, ferryengine.Order{
		Fence: o.Fence, Service: o.Service, Model: o.Model, Version: o.Version, Adapter: o.Adapter,
		Layers: o.Layers, State: ferryengine.State(o.State),
	})
	var stale *ferryengine.FenceError
	if errors.As(err, &stale) {
		return &ferryorder.FenceError{Highest: stale.Highest}
	}
	return err
}

// Report returns the current state of an engine.
func (e orderedEngines) Report(ctx context.Context, address string) (ferryorder.Report, error) {
	l, err := e.engines.Load(ctx, address)
	if err != nil {
		return ferryorder.Report{}, err
	}
	return ferryorder.Report{Ready: true, Target: ferryorder.Target{
		Model: l.Model, Version: l.Version, Adapter: l.Adapter, Layers: l.Layers, State: ferryorder.State(l.State),
	}}, nil
}
