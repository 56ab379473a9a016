package ferryedge

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cactusferry.dev/ferry/ferryconfig"
	"cactusferry.dev/ferry/ferrydiscovery"
	"cactusferry.dev/ferry/ferryduty"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrylease"
	"cactusferry.dev/ferry/ferrypeer"
	"cactusferry.dev/ferry/ferryplacement"
)

const (
	// leaseTTL is how long orders cease if their holder is lost. The lease costs a call every third of it.
	leaseTTL    = 3 * time.Second
	leaseMargin = 400 * time.Millisecond
	// wantInterval is the interval at which an entry checks whether it should hold the lease.
	wantInterval = 500 * time.Millisecond
	// downBeforeReplace is how long an engine must have been down before its layers are placed elsewhere.
	// The platform takes longer to notice.
	downBeforeReplace = time.Second
	// aloneWait is how long a starting entry waits for other entries before it acquires
	// the lease as the only one.
	aloneWait = time.Second
)

// dutyPlacement is the duty of the entry that sends orders to all engines.
const dutyPlacement ferryduty.Duty = "placement"

// placement runs a placer for each service whose engines hold layers, all under one lease.
type placement struct {
	*Edge
	lease *ferrylease.Lease
	held  atomic.Bool

	mu      sync.Mutex
	ctx     context.Context
	placers map[ferryid.ServiceName]*ferryplacement.Placer
	config  *ferryconfig.Snapshot
	view    *ferrydiscovery.View
	// down are the engines that have been down for downBeforeReplace.
	down map[string]bool
}

func (e *Edge) newPlacement() *placement {
	return &placement{
		Edge: e, placers: map[ferryid.ServiceName]*ferryplacement.Placer{},
		lease: ferrylease.New(ferrylease.Config{
			Name: string(dutyPlacement), Self: e.self, Store: e.cfg.Store, Epoch: e.cfg.Store.Epoch, First: e.cfg.FirstStart, Clock: e.cfg.Steady, TTL: leaseTTL, Margin: leaseMargin, HolderEnded: e.incarnationEnded,
		}),
	}
}

// run requests the lease while that is this entry's duty.
func (p *placement) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p.mu.Lock()
	p.ctx = ctx
	p.mu.Unlock()
	p.update()
	began := p.cfg.Clock.Now()
	for p.pause(ctx, wantInterval) {
		p.setDown()
		alone := len(p.peer.Links()) == 0
		p.lease.Want(p.Ready() && p.shouldHold() && (!alone || p.cfg.Clock.Since(began) > aloneWait))
		fence, _, err := p.lease.Check()
		if held := err == nil; held != p.held.Swap(held) {
			p.cfg.Log.Info().Bool("Held", held).Uint64("Fence", uint64(fence)).Msg("holder state of the placement lease changed")
		}
	}
}

// runLease acquires, renews and releases the lease.
func (p *placement) runLease(ctx context.Context) { _ = p.lease.Run(ctx) }

// shouldHold reports whether this entry should hold the lease. The present holder keeps it; otherwise
// it is the strongest entry that reaches the platform, the first one in the duty's order. Orders from one
// entry after another cost more than those of a single one.
func (p *placement) shouldHold() bool {
	ms := p.peer.Members()
	if len(ms.List) <= 1 || p.held.Load() {
		return true
	}
	for _, m := range ms.List {
		if published, ok := p.states.Get(string(m.Name)); ok && published.Value.Orders && m.Usable() && p.reachesPlatform(m.Name) {
			return false
		}
	}
	for _, name := range ferryduty.StrongestFirst(ms, ferryduty.Holders(ms, dutyPlacement, len(ms.List))) {
		if p.reachesPlatform(name) {
			return name == p.cfg.Name
		}
	}
	return false
}

// incarnationEnded reports whether the process of an incarnation has ended: its entry has left the overlay, or
// another incarnation runs under the entry's name.
func (e *Edge) incarnationEnded(id ferryid.Incarnation) bool {
	name := entryOf(id)
	if name == e.cfg.Name {
		return id != e.self
	}
	m, ok := e.peer.Members().Get(name)
	return ok && (m.Incarnation != id || m.Status == ferrypeer.Left)
}

// newIncarnation returns an incarnation that contains its entry's name.
func newIncarnation(name ferryid.EntryName) ferryid.Incarnation {
	return ferryid.Incarnation(string(name) + "/" + string(ferryid.NewIncarnation()))
}

// entryOf returns the name of an incarnation's entry.
func entryOf(id ferryid.Incarnation) ferryid.EntryName {
	name, _, _ := strings.Cut(string(id), "/")
	return ferryid.EntryName(name)
}

func (p *placement) setConfig(s *ferryconfig.Snapshot) {
	p.mu.Lock()
	p.config = s
	p.mu.Unlock()
	p.update()
}

func (p *placement) setView(v *ferrydiscovery.View) {
	p.mu.Lock()
	p.view = v
	p.mu.Unlock()
	p.update()
}

// setDown excludes the engines that have been down for downBeforeReplace from the plan, and
// includes them again later.
func (p *placement) setDown() {
	down := map[string]bool{}
	for _, name := range p.services.Layered() {
		if ch := p.services.Chooser(name); ch != nil {
			maps.Copy(down, ch.DownFor(downBeforeReplace))
		}
	}
	p.mu.Lock()
	changed := !maps.Equal(down, p.down)
	p.down = down
	p.mu.Unlock()
	if changed {
		p.update()
	}
}

// usableEngines returns the engines of a service without those in down.
func (p *placement) usableEngines(s ferryid.ServiceName) []*ferrydiscovery.Upstream {
	return slices.DeleteFunc(slices.Clone(p.view.Of(s)), func(u *ferrydiscovery.Upstream) bool { return p.down[u.Name] })
}

// update passes each placer its model and engines, and starts new placers.
func (p *placement) update() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx == nil || p.config == nil || p.view == nil {
		return
	}
	for i := range p.config.Services {
		s := &p.config.Services[i]
		if s.Model == nil || s.Model.Layers == 0 {
			continue
		}
		pl := p.placers[s.Name]
		if pl == nil {
			pl = ferryplacement.New(ferryplacement.Config{
				Engines: p.cfg.Engines(p.client, p.observer), Lease: p.lease, Clock: p.cfg.Clock, Log: p.cfg.Log,
			})
			p.placers[s.Name] = pl
			p.guard.Go("placement of "+string(s.Name), "", func() { p.runPlacer(p.ctx, s.Name, pl) })
		}
		demand := ferryplacement.MemorySuffices
		if p.config.Ranks(s.Name) > 1 {
			demand = ferryplacement.MemoryScarce
		}
		pl.Set(s.Model, demand, p.usableEngines(s.Name))
	}
}

// runPlacer runs a placer. One that panics is replaced with the next change of configuration or upstreams, by
// one that reads the engines' state again.
func (p *placement) runPlacer(ctx context.Context, name ferryid.ServiceName, pl *ferryplacement.Placer) {
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.placers[name] == pl {
			delete(p.placers, name)
		}
	}()
	pl.Run(ctx)
}
