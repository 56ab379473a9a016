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
	publishInterval = time.Second
	intervalJitter  = 0.2
	// listReadersPerDomain is the number of entries in each failure domain that read the instance list every second.
	listReadersPerDomain = 2
	// otherListReadsPerSecond limits the total rate of list reads by all other entries.
	otherListReadsPerSecond = 10
	// watchersPerDomain is the number of entries in each failure domain that watch the object API.
	watchersPerDomain = 2
)

// startListeners opens and serves the callers' and the peers' listener.
func (n *Node) startListeners(ctx context.Context, fail func(error)) error {
	callerKeys, err := n.loadPair(n.cfg.Callers.TLS)
	if err != nil {
		return merry.Prepend(err, "load TLS key pair of the callers' listener")
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
	n.log.Info().Str("Callers", n.cfg.Callers.Listen).Str("Peers", n.cfg.Peers.Listen).Msg("listening for callers and peers")
	return nil
}

// startLoops starts the background loops, each in its own goroutine.
func (n *Node) startLoops(ctx context.Context, fail func(error)) {
	go n.followDocuments(ctx)
	go n.publishDocuments(ctx)
	go func() { fail(n.peer.Run(ctx)) }()
	go func() { fail(n.watcher.Run(ctx)) }()
	go func() { fail(n.claims.Run(ctx)) }()
	go n.every(ctx, listInterval, n.readInstances)
	go n.every(ctx, publishInterval, n.publishLoad)
	go n.every(ctx, leaveInterval, n.applyMarks)
	go n.every(ctx, refreshInterval, func(context.Context) { n.services.refreshModels() })
	go n.every(ctx, metricsInterval, n.updateMetrics)
	go n.every(ctx, leaseInterval, n.updateLeases)
	go n.every(ctx, ferrylimit.AskInterval, n.updateLimits)
	go n.every(ctx, limitSweepInterval, n.sweepLimits)
	go n.every(ctx, loadInterval, n.readLoads)
	go n.every(ctx, loadInterval, n.readSubset)
	go n.every(ctx, tickInterval, func(context.Context) { n.services.tick(n.clock.Now()) })
	go n.becomeReady(ctx)
	n.watcher.SetWatching(true)
}

// every calls f periodically until the context ends; jitter spreads the calls of different entries.
func (n *Node) every(ctx context.Context, d time.Duration, f func(context.Context)) {
	for {
		f(ctx)
		n.sleep(ctx, time.Duration(float64(d)*(1+intervalJitter*(rand.Float64()-0.5))))
		if ctx.Err() != nil {
			return
		}
	}
}

// sleep waits for d or until the context ends.
func (n *Node) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-n.clock.After(d):
	}
}

// becomeReady sets StateReady once a document is in force or the platform reports that none exists.
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

// shouldReadList limits the load on the platform: listReadersPerDomain entries of each failure domain read the list
// every second, the others at random at otherListReadsPerSecond in total.
func (n *Node) shouldReadList() bool {
	ms := n.peer.Members()
	live := len(ms.Live())
	if live <= otherListReadsPerSecond || n.list.Load() == nil || ferryduty.HoldsInDomain(ms, dutyList, listReadersPerDomain) {
		return true
	}
	return rand.IntN(live) < otherListReadsPerSecond
}

// readInstances reads the instance list; on an error the last list stays in use.
func (n *Node) readInstances(ctx context.Context) {
	if !n.shouldReadList() {
		return
	}
	list, err := n.platform.Instances(ctx)
	if err != nil {
		n.log.Debug().Err(err).Msg("failed to read the instance list; the last one stays in use")
		return
	}
	n.list.Store(&list)
	n.services.setInstances(list)
	n.markListed(list)
}
