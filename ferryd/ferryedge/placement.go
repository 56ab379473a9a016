package ferryedge

import (
	"context"
	"sync"
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
	leaseTTL    = 5 * time.Second
	leaseMargin = 500 * time.Millisecond
	// wantEvery is how often an entry looks at whether it should give orders.
	wantEvery = 500 * time.Millisecond
	// aloneFor is how long a starting entry waits for others before it takes duties as the only one.
	aloneFor = time.Second
)

// dutyPlacement is the duty of the one entry that gives orders to all engines.
const dutyPlacement ferryduty.Duty = "placement"

// placement keeps a placer for each service whose engines hold layers, all under one lease.
type placement struct {
	*Edge
	lease *ferrylease.Lease

	mu      sync.Mutex
	ctx     context.Context
	placers map[ferryid.ServiceName]*ferryplacement.Placer
	config  *ferryconfig.Snapshot
	view    *ferrydiscovery.View
}

func (e *Edge) newPlacement() *placement {
	return &placement{
		Edge: e, placers: map[ferryid.ServiceName]*ferryplacement.Placer{},
		lease: ferrylease.New(ferrylease.Config{
			Name: string(dutyPlacement), Self: e.self, Store: e.cfg.Store, Clock: e.cfg.Steady, TTL: leaseTTL, Margin: leaseMargin,
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
	held := false
	for p.pause(ctx, wantEvery) {
		alone := len(p.peer.Links()) == 0
		p.lease.Want(p.Ready() && p.holds() && (!alone || p.cfg.Clock.Since(began) > aloneFor))
		fence, _, err := p.lease.Check()
		if now := err == nil; now != held {
			held = now
			p.cfg.Log.Info().Bool("Held", held).Uint64("Fence", uint64(fence)).Msg("placement lease")
		}
	}
}

// holds reports whether this entry should give orders.
func (p *placement) holds() bool {
	return holds(p.peer.Members(), dutyPlacement)
}

// holds reports whether this process should hold a duty; one that knows no other member holds all.
func holds(ms ferrypeer.Members, d ferryduty.Duty) bool {
	return len(ms.List) <= 1 || ferryduty.Holds(ms, d, 1)
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
		pl.Set(s.Model, p.view.Of(s.Name))
	}
}
