package ferrynode

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/ansel1/merry/v2"

	"cactusferry.dev/ferry/ferryduty"
	"cactusferry.dev/ferry/ferrylimit"
	"cactusferry.dev/ferry/ferryservice"
)

const (
	listInterval    = time.Second
	tickInterval    = 250 * time.Millisecond
	refreshInterval = 500 * time.Millisecond
	readyInterval   = 50 * time.Millisecond
	tellInterval    = time.Second
	intervalJitter  = 0.2
	// listReaders is how many entries of each failure domain read the instance list every second.
	listReaders = 2
	// slowListPerSecond bounds the reads of all other entries together.
	slowListPerSecond = 10
	// watchers is how many entries of each failure domain watch the object API.
	watchers = 2
)

// serve opens the listeners.
func (n *Node) serve(ctx context.Context, fail func(error)) error {
	callerKeys, err := n.loadPair(n.cfg.Callers.TLS)
	if err != nil {
		return merry.Prepend(err, "callers' listener")
	}
	callers, err := n.listen(n.cfg.Callers.Listen, callerKeys)
	if err != nil {
		return err
	}
	peers, err := n.listen(n.cfg.Peers.Listen, n.peerKeys)
	if err != nil {
		_ = callers.Close()
		return err
	}
	n.callersHTTP = n.callersServer()
	go func() { fail(serveHTTP(ctx, n.callersHTTP, callers)) }()
	go func() { fail(serveHTTP(ctx, n.peersServer(), peers)) }()
	n.log.Info().Str("Callers", n.cfg.Callers.Listen).Str("Peers", n.cfg.Peers.Listen).Msg("listening")
	return nil
}

// duties starts each duty on a goroutine of its own.
func (n *Node) duties(ctx context.Context, fail func(error)) {
	go n.follow(ctx)
	go n.publishDocuments(ctx)
	go func() { fail(n.peer.Run(ctx)) }()
	go func() { fail(n.watcher.Run(ctx)) }()
	go func() { fail(n.claims.Run(ctx)) }()
	go n.every(ctx, listInterval, n.readInstances)
	go n.every(ctx, tellInterval, n.tellLoad)
	go n.every(ctx, leaveInterval, n.takeMarks)
	go n.every(ctx, refreshInterval, func(context.Context) { n.services.refreshModels() })
	go n.every(ctx, metricsInterval, n.tellMetrics)
	go n.every(ctx, wantInterval, n.wantOrders)
	go n.every(ctx, ferrylimit.Tick, n.shareLimits)
	go n.every(ctx, limitSweep, n.sweepLimits)
	go n.every(ctx, loadInterval, n.readLoads)
	go n.every(ctx, loadInterval, n.readOwn)
	go n.every(ctx, tickInterval, func(context.Context) { n.services.tick(n.clock.Now()) })
	go n.becomeReady(ctx)
	n.watcher.Watching(true)
}

// every calls f again and again, at intervals that differ a little between entries.
func (n *Node) every(ctx context.Context, d time.Duration, f func(context.Context)) {
	for {
		f(ctx)
		n.pause(ctx, time.Duration(float64(d)*(1+intervalJitter*(rand.Float64()-0.5))))
		if ctx.Err() != nil {
			return
		}
	}
}

// pause waits, or returns when the context ends.
func (n *Node) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-n.clock.After(d):
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

// listDue spares the platform: a few entries of each failure domain read the list every second, the others in turn.
func (n *Node) listDue() bool {
	ms := n.peer.Members()
	live := len(ms.Live())
	if live <= slowListPerSecond || n.list.Load() == nil || ferryduty.HoldsInDomain(ms, dutyList, listReaders) {
		return true
	}
	return rand.IntN(live) < slowListPerSecond
}

// readInstances takes a new instance list; without one the last stays in use.
func (n *Node) readInstances(ctx context.Context) {
	if !n.listDue() {
		return
	}
	list, err := n.platform.Instances(ctx)
	if err != nil {
		n.log.Debug().Err(err).Msg("no instance list")
		return
	}
	n.list.Store(&list)
	n.services.setInstances(list)
	n.markListed(list)
}
