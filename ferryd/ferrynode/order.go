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
	askOrders    ferrypeer.AskKind = 5
	wantInterval                   = time.Second
	// orderCandidates is how many entries read a service's lease: its holder and the one that follows it.
	orderCandidates = 2
	releaseInterval = 50 * time.Millisecond
)

// orders is the duty that brings one service's engines to the state its document asks for.
type orders struct {
	lease  *ferrylease.Lease
	orders *ferryorder.Orders
}

func dutyOrders(s ferryid.ServiceName) ferryduty.Duty {
	return ferryduty.Duty("orders " + string(s))
}

// dutyGroup is the reading of one group of a service's engines; the first group is read by the entry that gives the orders.
func dutyGroup(s ferryid.ServiceName, group int) ferryduty.Duty {
	if group == 0 {
		return dutyOrders(s)
	}
	return ferryduty.Slot(dutyOrders(s), group)
}

// startOrders starts the duty for a service; only the entry that wins the lease gives any order.
func (n *Node) startOrders(ctx context.Context, s ferryid.ServiceName) *orders {
	lease := ferrylease.New(ferrylease.Config{Name: "orders-" + string(s), Self: n.self, Store: n.platform, Clock: n.clock})
	o := &orders{lease: lease, orders: ferryorder.New(ferryorder.Config{
		Tenure: lease, Engine: orderedEngines{n.engines}, Clock: n.clock, Readers: groupReaders{n},
	})}
	go func() { _ = lease.Run(ctx) }()
	go func() { _ = o.orders.Run(ctx) }()
	return o
}

// wantOrders wants the leases of the services whose orders this entry should give now.
func (n *Node) wantOrders(context.Context) {
	ms := n.peer.Members()
	for _, sv := range n.services.all() {
		o := sv.orders.Load()
		if o == nil {
			continue
		}
		on := !n.stopping.Load()
		place := slices.Index(ferryduty.Holders(ms, dutyOrders(sv.name), orderCandidates), n.cfg.Name)
		o.lease.Follow(on && place > 0)
		o.lease.Want(on && holds(ms, dutyOrders(sv.name)))
	}
}

// holds reports whether this process should hold a duty; one that knows no other member holds all.
func holds(ms ferrypeer.Members, d ferryduty.Duty) bool {
	return len(ms.List) == 0 || ferryduty.Holds(ms, d, 1)
}

// groupReaders has groups of engines read by the entries whose duty it is.
type groupReaders struct{ node *Node }

// ReadGroup asks the group's reader for the state of its engines.
func (r groupReaders) ReadGroup(ctx context.Context, a ferryorder.GroupAsk) (ferryorder.GroupAnswer, error) {
	n := r.node
	ms := n.peer.Members()
	names := ferryduty.Holders(ms, dutyGroup(a.Service, a.Group), 1)
	if len(names) == 0 || names[0] == n.cfg.Name {
		return n.readGroup(ctx, a)
	}
	i := slices.IndexFunc(ms.List, func(m ferrypeer.MemberInfo) bool { return m.Name == names[0] })
	var out ferryorder.GroupAnswer
	err := claimPeers{n}.askPeer(ctx, ms.List[i].Incarnation, askOrders, a, &out)
	return out, merry.Prepend(err, "read engines by "+string(names[0]))
}

func (n *Node) readGroup(ctx context.Context, a ferryorder.GroupAsk) (ferryorder.GroupAnswer, error) {
	sv, ok := n.services.get(a.Service)
	if !ok || sv.orders.Load() == nil {
		return ferryorder.GroupAnswer{}, &ferryorder.GroupError{Service: a.Service, Group: a.Group}
	}
	return sv.orders.Load().orders.Read(ctx, a)
}

// answerOrders reads engines for the entry that gives them orders.
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

// releaseLeases gives the leases back, so that the next holders need not wait them out.
func (n *Node) releaseLeases(ctx context.Context) error {
	n.wantOrders(ctx)
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

// orderedEngines is the adapter from orders to engines.
type orderedEngines struct{ engines *ferryengine.Client }

// Order sets an engine's target state.
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

// Report reads what the engine holds now.
func (e orderedEngines) Report(ctx context.Context, address string) (ferryorder.Report, error) {
	l, err := e.engines.Load(ctx, address)
	if err != nil {
		return ferryorder.Report{}, err
	}
	return ferryorder.Report{Ready: true, Target: ferryorder.Target{
		Model: l.Model, Version: l.Version, Adapter: l.Adapter, Layers: l.Layers, State: ferryorder.State(l.State),
	}}, nil
}
