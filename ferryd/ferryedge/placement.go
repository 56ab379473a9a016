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
	// leaseTTL is how long the orders stop when their holder is lost; each third of it costs a call.
	leaseTTL    = 3 * time.Second
	leaseMargin = 400 * time.Millisecond
	// wantEvery is how often an entry looks at whether it should give orders.
	wantEvery = 500 * time.Millisecond
	// deadAfter is how long an engine must not have answered until its layers are placed elsewhere; the platform takes longer to notice.
	deadAfter = time.Second
	// aloneFor is how long a starting entry waits for others before it takes duties as the only one.
	aloneFor = time.Second
)

// dutyPlacement is the duty of the one entry that gives orders to all engines.
const dutyPlacement ferryduty.Duty = "placement"

// placement keeps a placer for each service whose engines hold layers, all under one lease.
type placement struct {
	*Edge
	lease *ferrylease.Lease
	held  atomic.Bool

	mu      sync.Mutex
	ctx     context.Context
	placers map[ferryid.ServiceName]*ferryplacement.Placer
	config  *ferryconfig.Snapshot
	view    *ferrydiscovery.View
	// dead are the engines that have not answered for a while.
	dead map[string]bool
}

func (e *Edge) newPlacement() *placement {
	return &placement{
		Edge: e, placers: map[ferryid.ServiceName]*ferryplacement.Placer{},
		lease: ferrylease.New(ferrylease.Config{
			Name: string(dutyPlacement), Self: e.self, Store: e.cfg.Store, Clock: e.cfg.Steady, TTL: leaseTTL, Margin: leaseMargin, Gone: e.gone,
		}),
	}
}

// run takes and keeps the lease while it is this entry's duty.
func (p *placement) run(ctx context.Context) {
	p.mu.Lock()
	p.ctx = ctx
	p.mu.Unlock()
	p.update()
	go func() { _ = p.lease.Run(ctx) }()
	began := p.cfg.Clock.Now()
	for p.pause(ctx, wantEvery) {
		p.setDead()
		alone := len(p.peer.Links()) == 0
		p.lease.Want(p.Ready() && p.holds() && (!alone || p.cfg.Clock.Since(began) > aloneFor))
		fence, _, err := p.lease.Check()
		if now := err == nil; now != p.held.Swap(now) {
			p.cfg.Log.Info().Bool("Held", now).Uint64("Fence", uint64(fence)).Msg("placement lease")
		}
	}
}

// holds reports whether this entry should give orders: the one that does goes on, else it is the first in the duty's order that
// reaches the platform. Orders from one entry after another cost more than those of a single one.
func (p *placement) holds() bool {
	ms := p.peer.Members()
	if len(ms.List) <= 1 || p.held.Load() {
		return true
	}
	for _, m := range ms.List {
		if entry, ok := p.states.Get(string(m.Name)); ok && entry.Value.Orders && m.Usable() && p.reaches(m.Name) {
			return false
		}
	}
	for _, name := range ferryduty.Holders(ms, dutyPlacement, len(ms.List)) {
		if p.reaches(name) {
			return name == p.cfg.Name
		}
	}
	return false
}

// gone reports whether the process of an incarnation has ended: a later one has its entry's name.
func (e *Edge) gone(id ferryid.Incarnation) bool {
	name := entryOf(id)
	if name == e.cfg.Name {
		return id != e.self
	}
	m, ok := e.peer.Members().Get(name)
	return ok && (m.Incarnation != id || m.Status == ferrypeer.Left)
}

// newIncarnation returns an incarnation that tells its entry's name.
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

// setDead takes the engines that have not answered for a while out of the plan, and back in.
func (p *placement) setDead() {
	dead := map[string]bool{}
	for _, name := range p.services.Layered() {
		if ch := p.services.Chooser(name); ch != nil {
			maps.Copy(dead, ch.DownFor(deadAfter))
		}
	}
	p.mu.Lock()
	moved := !maps.Equal(dead, p.dead)
	p.dead = dead
	p.mu.Unlock()
	if moved {
		p.update()
	}
}

// living returns the engines of a service that are not known to be dead.
func (p *placement) living(s ferryid.ServiceName) []*ferrydiscovery.Upstream {
	return slices.DeleteFunc(slices.Clone(p.view.Of(s)), func(u *ferrydiscovery.Upstream) bool { return p.dead[u.Name] })
}

// update hands each placer its model and engines, and starts those that are new.
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
				Engines: p.cfg.Engines(p.client), Tenure: p.lease, Clock: p.cfg.Clock, Log: p.cfg.Log,
			})
			p.placers[s.Name] = pl
			go pl.Run(p.ctx)
		}
		pl.Set(s.Model, p.living(s.Name))
	}
}
