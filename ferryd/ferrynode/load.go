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
	// loadItemsPerSecond limits the total rate of load reports in the overlay for engines used by every entry.
	loadItemsPerSecond = 20
	// loadTTLIntervals is the lifetime of a load report in read intervals.
	loadTTLIntervals = 5
	maxLoads         = 8192
	// loadReaders is the number of entries that read the load of each engine used by every entry.
	// The other entries receive the reports over the overlay.
	loadReaders  = 1
	fullPermille = 1000
)

// engineLoad is the load report of one engine as replicated between entries.
type engineLoad struct {
	Service     ferryid.ServiceName  `cbor:"1,keyasint"`
	Upstream    ferryid.UpstreamName `cbor:"2,keyasint"`
	Running     int                  `cbor:"3,keyasint"`
	Outstanding ferryid.Tokens       `cbor:"4,keyasint"`
	Rate        float64              `cbor:"5,keyasint"`
	At          time.Time            `cbor:"6,keyasint"`
	Incarnation ferryid.Incarnation  `cbor:"7,keyasint,omitempty"`
}

// Check validates the names and rejects a rate that is not a number.
// The routing table checks the ranges of the numbers.
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

// engine converts the report to the engine's own format.
func (l engineLoad) engine() ferryengine.Load {
	return ferryengine.Load{
		Name: l.Upstream, Incarnation: l.Incarnation, State: ferryengine.StateLive, RunningStreams: l.Running,
		OutstandingTokens: l.Outstanding, TokensPerSecond: ferryid.TokensPerSecond(l.Rate), At: l.At,
	}
}

func (l engineLoad) key() string {
	return upstreamKey(l.Service, l.Upstream)
}

// readLoads reads the engines that this entry reads on behalf of all and applies the reports of the other entries.
func (n *Node) readLoads(ctx context.Context) {
	defer n.applyLoads()
	now := n.clock.Now()
	if now.Before(n.nextLoadRead) {
		return
	}
	interval := n.loadReadInterval()
	n.nextLoadRead = now.Add(interval)
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	ms := n.peer.Members()
	for _, sv := range n.services.all() {
		if sv.doc.Load().Kind != ferryservice.KindModel || !sv.subset.allEngines.Load() {
			continue
		}
		for _, c := range sv.table.Snapshot().All() {
			duty := ferryduty.Duty("load " + string(sv.name) + "/" + string(c.Name))
			if len(ms.List) == 0 || ferryduty.Holds(ms, duty, loadReaders) {
				go n.readShared(ctx, sv, c, loadTTLIntervals*interval)
			}
		}
	}
	<-ctx.Done()
}

// loadReadInterval grows with the number of engines used by every entry, to keep the total rate of reports constant.
func (n *Node) loadReadInterval() time.Duration {
	engines := 0
	for _, sv := range n.services.all() {
		if sv.model.Load() != nil && sv.subset.allEngines.Load() {
			engines += sv.table.Snapshot().Len()
		}
	}
	return max(loadInterval, time.Duration(engines)*time.Second/loadItemsPerSecond) - loadInterval/2
}

// readShared reads the load of an engine and publishes it to the other entries.
func (n *Node) readShared(ctx context.Context, sv *service, c ferryroute.Candidate, ttl time.Duration) {
	if l, ok := n.readLoad(ctx, sv, c); ok {
		n.sharedLoads.Set(l.key(), l, ttl)
	}
}

// loadTarget is an engine whose load is read.
type loadTarget struct {
	service   *service
	candidate ferryroute.Candidate
}

// readSubset reads the next engines of this entry's subsets in rotation, at a lower rate while it has no calls.
func (n *Node) readSubset(ctx context.Context) {
	var targets []loadTarget
	for _, sv := range n.services.all() {
		for _, c := range sv.subset.ownReads() {
			targets = append(targets, loadTarget{sv, c})
		}
	}
	cfg := ferrysubset.Default
	ttl := loadTTLIntervals * (loadInterval + time.Duration(len(targets))*time.Second/time.Duration(cfg.IdleReadsPerSecond))
	limit := cfg.IdleReadsPerSecond
	if running, _ := n.callsAndSlots(); running > 0 {
		limit = cfg.ReadsPerSecond
	}
	for _, i := range n.rotation.Next(len(targets), limit, nil) {
		go n.readSubsetEngine(ctx, targets[i], ttl)
	}
}

// readSubsetEngine reads the load of an engine of this entry's subset and applies it at once.
func (n *Node) readSubsetEngine(ctx context.Context, t loadTarget, ttl time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	l, ok := n.readLoad(ctx, t.service, t.candidate)
	n.services.recordRead(upstreamKey(t.service.name, t.candidate.Name), ok)
	if !ok {
		return
	}
	n.subsetLoads.Set(l.key(), l, ttl)
	n.applyLoad(t.service, l)
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

// applyLoads applies the reports of other entries to the routing tables, which refuse and count invalid ones.
func (n *Node) applyLoads() {
	incarnations := map[string]ferryid.Incarnation{}
	seen := map[string]time.Time{}
	for _, e := range n.sharedLoads.All() {
		l := e.Value
		incarnations[l.key()] = l.Incarnation
		sv, ok := n.services.get(l.Service)
		seen[l.key()] = l.At
		if !ok || n.appliedLoads[l.key()].Equal(l.At) {
			continue
		}
		n.applyLoad(sv, l)
	}
	for _, e := range n.subsetLoads.All() {
		incarnations[e.Value.key()] = e.Value.Incarnation
	}
	n.appliedLoads = seen
	n.services.setIncarnations(incarnations)
}

func (n *Node) applyLoad(sv *service, l engineLoad) {
	err := sv.table.Report(ferryroute.Report{
		Upstream: l.Upstream, RunningStreams: float64(l.Running), OutstandingTokens: float64(l.Outstanding),
		TokensPerSecond: l.Rate, At: l.At,
	}, n.clock.Now())
	if err != nil {
		n.log.Debug().Err(err).Msg("load report refused")
		return
	}
	if md := sv.model.Load(); md != nil {
		_ = md.pool.Report(l.engine())
	}
}

// publishLoad publishes the state and load of this entry to the other entries.
func (n *Node) publishLoad(context.Context) {
	running, capacity := n.callsAndSlots()
	streams, _ := n.callers.OpenCounts()
	state := ferrypeer.Ready
	if n.state() != StateReady || n.stopping.Load() {
		state = ferrypeer.Draining
	}
	share := min(math.MaxUint16, running*fullPermille/max(1, capacity))
	n.peer.SetState(state, ferrypeer.Load{Permille: uint16(share), Streams: uint32(streams)})
}

// callsAndSlots returns the number of calls running or waiting on this entry, and the number of slots.
func (n *Node) callsAndSlots() (calls, slots int) {
	for _, sv := range n.services.all() {
		q := sv.admission.Snapshot()
		calls += q.Running + q.Waiting
		slots += q.Capacity
	}
	return calls, slots
}
