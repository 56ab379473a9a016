package ferrynode

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/ansel1/merry/v2"

	"cactusferry.dev/ferry/ferryengine"
	"cactusferry.dev/ferry/ferryplatform"
	"cactusferry.dev/ferry/ferryroute"
	"cactusferry.dev/ferry/ferryservice"
)

const (
	listInterval   = time.Second
	loadInterval   = time.Second
	tickInterval   = 500 * time.Millisecond
	readyInterval  = 50 * time.Millisecond
	loadTimeout    = 900 * time.Millisecond
	intervalJitter = 0.2
)

// serve opens the listeners.
func (n *Node) serve(ctx context.Context, fail func(error)) error {
	callerKeys, err := n.loadPair(n.cfg.Callers.TLS)
	if err != nil {
		return merry.Prepend(err, "callers' listener")
	}
	peerKeys, err := n.loadPair(n.cfg.Peers.TLS)
	if err != nil {
		return merry.Prepend(err, "peers' listener")
	}
	callers, err := listen(n.cfg.Callers.Listen, callerKeys)
	if err != nil {
		return err
	}
	peers, err := listen(n.cfg.Peers.Listen, peerKeys)
	if err != nil {
		_ = callers.Close()
		return err
	}
	go func() { fail(serveHTTP(ctx, n.callersServer(), callers)) }()
	go func() { fail(serveHTTP(ctx, n.peersServer(), peers)) }()
	n.log.Info().Str("Callers", n.cfg.Callers.Listen).Str("Peers", n.cfg.Peers.Listen).Msg("listening")
	return nil
}

// duties starts each duty on a goroutine of its own.
func (n *Node) duties(ctx context.Context, fail func(error)) {
	go n.follow(ctx)
	go func() { fail(n.watcher.Run(ctx)) }()
	go func() { fail(n.claims.Run(ctx)) }()
	go n.every(ctx, listInterval, n.readInstances)
	go n.every(ctx, loadInterval, n.readLoads)
	go n.every(ctx, tickInterval, func(context.Context) { n.services.tick(n.clock.Now()) })
	go n.becomeReady(ctx)
	n.watcher.Watching(true)
}

// every calls f again and again, at intervals that differ a little between entries.
func (n *Node) every(ctx context.Context, d time.Duration, f func(context.Context)) {
	for {
		f(ctx)
		wait := time.Duration(float64(d) * (1 + intervalJitter*(rand.Float64()-0.5)))
		select {
		case <-ctx.Done():
			return
		case <-n.clock.After(wait):
		}
	}
}

// becomeReady waits until configuration is held, or the platform says that there is none yet.
func (n *Node) becomeReady(ctx context.Context) {
	for n.holder.Len() == 0 {
		if l, err := n.platform.List(ctx, ferryservice.ObjectKind); err == nil && len(l.Objects) == 0 {
			break
		}
		select {
		case <-ctx.Done():
			return
		case <-n.clock.After(readyInterval):
		}
	}
	if n.state() == StateStarting {
		n.setState(StateReady)
	}
}

// readInstances takes a new instance list; without one the last stays in use.
func (n *Node) readInstances(ctx context.Context) {
	list, err := n.platform.Instances(ctx)
	if err != nil {
		n.log.Debug().Err(err).Msg("no instance list")
		return
	}
	live := 0
	for _, in := range list {
		if in.Role == ferryplatform.RoleEntry && in.State == ferryplatform.StateLive {
			live++
		}
	}
	n.list.Store(&list)
	n.services.setInstances(list, live)
}

// readLoads asks every engine for its load report.
func (n *Node) readLoads(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	for _, sv := range n.services.all() {
		if sv.doc.Load().Kind != ferryservice.KindModel {
			continue
		}
		for _, c := range sv.table.Snapshot().All() {
			go n.readLoad(ctx, sv, c)
		}
	}
	<-ctx.Done()
}

func (n *Node) readLoad(ctx context.Context, sv *service, c ferryroute.Candidate) {
	l, err := n.engines.Load(ctx, c.Address)
	if err != nil {
		return
	}
	if l.State == ferryengine.StateLeaving {
		n.markLeaving(sv.name, c.Name)
	}
	err = sv.table.Report(ferryroute.Report{
		Upstream: c.Name, RunningStreams: float64(l.RunningStreams), OutstandingTokens: float64(l.OutstandingTokens),
		TokensPerSecond: float64(l.TokensPerSecond), At: l.At,
	}, n.clock.Now())
	if err != nil {
		n.log.Debug().Err(err).Msg("load report")
	}
}
