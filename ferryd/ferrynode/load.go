package ferrynode

import (
	"context"
	"fmt"
	"math"
	"time"

	"cactusferry.dev/ferry/ferrydrain"
	"cactusferry.dev/ferry/ferryduty"
	"cactusferry.dev/ferry/ferryengine"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypeer"
	"cactusferry.dev/ferry/ferryroute"
	"cactusferry.dev/ferry/ferryservice"
	"cactusferry.dev/ferry/ferrysubset"
)

const (
	topicLoads ferrypeer.TopicName = "loads"

	loadInterval = time.Second
	loadTimeout  = 900 * time.Millisecond
	// loadItemsPerSecond bounds what the whole fleet says of the loads of engines that every entry works.
	loadItemsPerSecond = 20
	// loadKept is for how many intervals a report is kept.
	loadKept = 5
	maxLoads = 8192
	// loadReaders is how many entries ask each engine that every entry works for its load; the others hear of it from them.
	loadReaders = 1
	permille    = 1000
)

// engineLoad is one engine's load report as entries pass it on.
type engineLoad struct {
	Service     ferryid.ServiceName  `cbor:"1,keyasint"`
	Upstream    ferryid.UpstreamName `cbor:"2,keyasint"`
	Running     int                  `cbor:"3,keyasint"`
	Outstanding ferryid.Tokens       `cbor:"4,keyasint"`
	Rate        float64              `cbor:"5,keyasint"`
	At          time.Time            `cbor:"6,keyasint"`
	Incarnation ferryid.Incarnation  `cbor:"7,keyasint,omitempty"`
}

// Check returns an error for names that no engine can have; numbers are checked by the table that takes them.
func (l engineLoad) Check() error {
	if err := ferryid.CheckName(string(l.Service)); err != nil {
		return fmt.Errorf("load report's service: %w", err)
	}
	if err := ferryid.CheckName(string(l.Upstream)); err != nil {
		return fmt.Errorf("load report's upstream: %w", err)
	}
	if math.IsNaN(l.Rate) {
		return fmt.Errorf("load report's rate is not a number")
	}
	return nil
}

// engine is the report as the engine gave it.
func (l engineLoad) engine() ferryengine.Load {
	return ferryengine.Load{
		Name: l.Upstream, Incarnation: l.Incarnation, State: ferryengine.StateLive, RunningStreams: l.Running,
		OutstandingTokens: l.Outstanding, TokensPerSecond: ferryid.TokensPerSecond(l.Rate), At: l.At,
	}
}

func (l engineLoad) key() string {
	return upstreamKey(l.Service, l.Upstream)
}

// readLoads asks the engines that this entry reads for all, and takes what the others have read.
func (n *Node) readLoads(ctx context.Context) {
	defer n.takeLoads()
	now := n.clock.Now()
	if now.Before(n.nextLoads) {
		return
	}
	interval := n.loadPause()
	n.nextLoads = now.Add(interval)
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	ms := n.peer.Members()
	for _, sv := range n.services.all() {
		if sv.doc.Load().Kind != ferryservice.KindModel || !sv.part.whole.Load() {
			continue
		}
		for _, c := range sv.table.Snapshot().All() {
			duty := ferryduty.Duty("load " + string(sv.name) + "/" + string(c.Name))
			if len(ms.List) == 0 || ferryduty.Holds(ms, duty, loadReaders) {
				go n.readForAll(ctx, sv, c, loadKept*interval)
			}
		}
	}
	<-ctx.Done()
}

// loadPause grows with the number of engines that every entry works, so that what is said of loads does not.
func (n *Node) loadPause() time.Duration {
	engines := 0
	for _, sv := range n.services.all() {
		if sv.model.Load() != nil && sv.part.whole.Load() {
			engines += sv.table.Snapshot().Len()
		}
	}
	return max(loadInterval, time.Duration(engines)*time.Second/loadItemsPerSecond) - loadInterval/2
}

// readForAll reads an engine and tells the other entries.
func (n *Node) readForAll(ctx context.Context, sv *service, c ferryroute.Candidate, ttl time.Duration) {
	if l, ok := n.readLoad(ctx, sv, c); ok {
		n.loads.Set(l.key(), l, ttl)
	}
}

// target is one engine to read.
type target struct {
	service   *service
	candidate ferryroute.Candidate
}

// readOwn asks the next few engines of this entry's subsets, in turn; fewer while it has no calls.
func (n *Node) readOwn(ctx context.Context) {
	var targets []target
	for _, sv := range n.services.all() {
		for _, c := range sv.part.own() {
			targets = append(targets, target{sv, c})
		}
	}
	cfg := ferrysubset.Default
	ttl := loadKept * (loadInterval + time.Duration(len(targets))*time.Second/time.Duration(cfg.IdleReadsPerSecond))
	most := cfg.IdleReadsPerSecond
	if running, _ := n.work(); running > 0 {
		most = cfg.ReadsPerSecond
	}
	for _, i := range n.turns.Next(len(targets), most, nil) {
		go n.readForSelf(ctx, targets[i], ttl)
	}
}

// readForSelf reads an engine of this entry's subset and uses what it says at once.
func (n *Node) readForSelf(ctx context.Context, t target, ttl time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	l, ok := n.readLoad(ctx, t.service, t.candidate)
	n.services.setRead(upstreamKey(t.service.name, t.candidate.Name), ok)
	if !ok {
		return
	}
	n.own.Set(l.key(), l, ttl)
	n.takeLoad(t.service, l)
}

func (n *Node) readLoad(ctx context.Context, sv *service, c ferryroute.Candidate) (engineLoad, bool) {
	n.loadReads.Add(1)
	l, err := n.engines.Load(ctx, c.Address)
	if err != nil {
		return engineLoad{}, false
	}
	n.marks.Seen(sv.name, c.Name, l.Incarnation)
	if l.State == ferryengine.StateLeaving {
		n.mark(sv.name, c.Name, l.Incarnation, ferrydrain.SourceUpstream)
	}
	return engineLoad{
		Service: sv.name, Upstream: c.Name, Running: l.RunningStreams, Outstanding: l.OutstandingTokens,
		Rate: float64(l.TokensPerSecond), At: l.At, Incarnation: l.Incarnation,
	}, true
}

// takeLoads gives every report that others passed on to the tables, which refuse the bad ones and count them.
func (n *Node) takeLoads() {
	incarnations := map[string]ferryid.Incarnation{}
	seen := map[string]time.Time{}
	for _, e := range n.loads.All() {
		l := e.Value
		incarnations[l.key()] = l.Incarnation
		sv, ok := n.services.get(l.Service)
		seen[l.key()] = l.At
		if !ok || n.seenLoads[l.key()].Equal(l.At) {
			continue
		}
		n.takeLoad(sv, l)
	}
	for _, e := range n.own.All() {
		incarnations[e.Value.key()] = e.Value.Incarnation
	}
	n.seenLoads = seen
	n.services.setIncarnations(incarnations)
}

func (n *Node) takeLoad(sv *service, l engineLoad) {
	err := sv.table.Report(ferryroute.Report{
		Upstream: l.Upstream, RunningStreams: float64(l.Running), OutstandingTokens: float64(l.Outstanding),
		TokensPerSecond: l.Rate, At: l.At,
	}, n.clock.Now())
	if err != nil {
		n.log.Debug().Err(err).Msg("load report")
		return
	}
	if md := sv.model.Load(); md != nil {
		_ = md.pool.Report(l.engine())
	}
}

// tellLoad tells the other entries how busy this one is.
func (n *Node) tellLoad(context.Context) {
	running, capacity := n.work()
	streams, _ := n.callers.Open()
	state := ferrypeer.Ready
	if n.state() != StateReady || n.stopping.Load() {
		state = ferrypeer.Draining
	}
	share := min(math.MaxUint16, running*permille/max(1, capacity))
	n.peer.SetState(state, ferrypeer.Load{Permille: uint16(share), Streams: uint32(streams)})
}

// work counts the calls that run or wait here, and the slots.
func (n *Node) work() (calls, slots int) {
	for _, sv := range n.services.all() {
		q := sv.admission.Snapshot()
		calls += q.Running + q.Waiting
		slots += q.Capacity
	}
	return calls, slots
}
