package ferrynode

import (
	"context"
	"errors"
	"time"

	"cactusferry.dev/ferry/ferryduty"
	"cactusferry.dev/ferry/ferryengine"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrylease"
	"cactusferry.dev/ferry/ferryorder"
	"cactusferry.dev/ferry/ferrypeer"
)

const (
	wantInterval    = time.Second
	releaseTimeout  = 2 * time.Second
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

// startOrders starts the duty for a service; only the entry that wins the lease gives any order.
func (n *Node) startOrders(ctx context.Context, s ferryid.ServiceName) *orders {
	lease := ferrylease.New(ferrylease.Config{Name: "orders-" + string(s), Self: n.self, Store: n.platform, Clock: n.clock})
	o := &orders{lease: lease, orders: ferryorder.New(ferryorder.Config{Tenure: lease, Engine: orderedEngines{n.engines}, Clock: n.clock})}
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
		o.lease.Want(!n.stopping.Load() && holds(ms, dutyOrders(sv.name)))
	}
}

// holds reports whether this process should hold a duty; one that knows no other member holds all.
func holds(ms ferrypeer.Members, d ferryduty.Duty) bool {
	return len(ms.List) == 0 || ferryduty.Holds(ms, d, 1)
}

// releaseLeases gives the leases back, so that the next holders need not wait them out.
func (n *Node) releaseLeases(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	n.wantOrders(ctx)
	for {
		if n.released() {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-n.clock.After(releaseInterval):
		}
	}
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
