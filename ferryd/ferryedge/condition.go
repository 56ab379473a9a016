package ferryedge

import (
	"context"
	"fmt"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cactusferry.dev/ferry/ferrydiscovery"
	"cactusferry.dev/ferry/ferryduty"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypath"
	"cactusferry.dev/ferry/ferrypeer"
)

const (
	topicConditions ferrypeer.TopicName = "conditions"
	// readInterval is the interval at which each engine's condition is read, by one entry for all.
	// The engines of a failure domain are divided into shards of about enginesPerReader, each the duty
	// of one entry, so that no entry's part grows with the fleet.
	readInterval = 1500 * time.Millisecond
	// readIntervalUnderPressure applies while the memory of some engine is used by more than memoryPressureShare.
	readIntervalUnderPressure = 500 * time.Millisecond
	memoryPressureShare       = 0.75
	readTimeout               = 300 * time.Millisecond
	// conditionTTL is how long a condition is passed on.
	conditionTTL      = 4 * time.Second
	enginesPerReader  = 32
	maxEnginesPerItem = 40 // engines in one item, which the overlay bounds to a kilobyte
	maxItems          = 4096
	// probeDownInterval is the interval of probes of engines that are down, in a fleet of up to
	// smallFleet entries. It grows with the fleet, so that the number of probes of an engine does not.
	// probeDownTimeout bounds one probe.
	probeDownInterval = 300 * time.Millisecond
	probeDownTimeout  = 100 * time.Millisecond
)

// engineCondition is the condition of one engine as sent to other entries. It is compact,
// since all receive it often.
type engineCondition struct {
	_ struct{} `cbor:",toarray"`
	// Engine identifies the engine among those that all entries know.
	Engine engineHash
	// Pace is in units of paceUnit; Used and Room are in units of roomUnit tokens.
	Pace    uint32
	Running uint32
	Used    uint64
	Room    uint64
	// Silent is set if the engine did not answer the entry that read its condition.
	Silent bool
}

const (
	paceUnit = 1.0 / 64 // an engine at nominal speed has pace 1
	roomUnit = 64       // tokens; an engine has memory for about 100,000
	maxPace  = 1 << 20
	maxRoom  = 1 << 40
)

// engineHash is a hash of an engine's service and name.
type engineHash uint32

func hashOf(u *ferrydiscovery.Upstream) engineHash {
	return engineHash(xxhash.Sum64String(string(u.Service) + "/" + u.Name))
}

// conditions are the conditions of some engines.
type conditions struct {
	List []engineCondition `cbor:"1,keyasint"`
}

// Check returns an error if a number is out of range.
func (c conditions) Check() error {
	if len(c.List) > maxEnginesPerItem {
		return fmt.Errorf("conditions of %d engines in one item, at most 40 allowed", len(c.List))
	}
	for _, e := range c.List {
		if e.Pace > maxPace || e.Running > maxPace || e.Used > maxRoom || e.Room > maxRoom {
			return fmt.Errorf("condition of engine %08x out of range: pace %d, %d running, %d of %d used", e.Engine, e.Pace, e.Running, e.Used, e.Room)
		}
	}
	return nil
}

// chooserCondition returns the condition in the units of ferrypath.
func (c engineCondition) chooserCondition() ferrypath.Condition {
	return ferrypath.Condition{
		Pace: float64(c.Pace) * paceUnit, Running: int(c.Running), Used: int64(c.Used) * roomUnit, Room: int64(c.Room) * roomUnit,
	}
}

// toUnits converts a value to whole units, limited to the range from 0 to most; NaN gives 0.
func toUnits(v, unit, most float64) uint64 {
	if math.IsNaN(v) {
		return 0
	}
	return uint64(min(max(v/unit, 0), most))
}

// dutyConditions is the duty of the entry that reads the conditions of one shard of its failure domain's engines.
const dutyConditions ferryduty.Duty = "conditions"

func (e *Edge) newConditions() {
	e.conditions = ferrypeer.NewLatest[conditions](ferrypeer.LatestConfig{
		Name: topicConditions, Self: e.cfg.Name, Size: maxItems, Clock: e.cfg.Steady, Events: e.events,
	})
}

// readConditions reads the shards of engines that are this entry's duty, and applies all entries' conditions.
func (e *Edge) readConditions(ctx context.Context) {
	engines := e.cfg.Engines(e.client, e.observer)
	every := readInterval
	for e.pause(ctx, every) {
		if e.Ready() {
			e.readOwnShards(ctx, engines)
		}
		every = readInterval
		if e.applyConditions(ctx) {
			every = readIntervalUnderPressure
		}
	}
}

func (e *Edge) readOwnShards(ctx context.Context, engines Engines) {
	var wg sync.WaitGroup
	for key, list := range e.ownShards(e.peer.Members(), e.enginesByDomain()) {
		wg.Go(func() {
			_ = e.guard.Run("condition reader", key.String(), func() { e.readShard(ctx, engines, key, list) })
		})
	}
	wg.Wait()
}

// shardKey identifies a shard of a failure domain's engines.
type shardKey struct {
	domain ferryid.DomainName
	shard  int
}

func (k shardKey) String() string { return fmt.Sprintf("%s/%d", k.domain, k.shard) }

// enginesByDomain returns the engines of each failure domain.
func (e *Edge) enginesByDomain() map[ferryid.DomainName][]*ferrydiscovery.Upstream {
	out := map[ferryid.DomainName][]*ferrydiscovery.Upstream{}
	for _, name := range e.services.Layered() {
		for _, u := range e.upstreams.View().Of(name) {
			out[u.FailureDomain] = append(out[u.FailureDomain], u)
		}
	}
	return out
}

// ownShards returns the engines that this entry has to read, by shard. The engines of a failure domain are read by
// its own entries, or if it has none by those of all.
func (e *Edge) ownShards(ms ferrypeer.Members, engines map[ferryid.DomainName][]*ferrydiscovery.Upstream) map[shardKey][]*ferrydiscovery.Upstream {
	domains := map[ferryid.DomainName]bool{}
	for _, m := range ms.Live() {
		domains[m.FailureDomain] = true
	}
	out := map[shardKey][]*ferrydiscovery.Upstream{}
	for domain, list := range engines {
		if domain != e.cfg.Domain && domains[domain] {
			continue
		}
		shards := ferryduty.Shards(len(list), enginesPerReader)
		for _, u := range list {
			key := shardKey{domain: domain, shard: ferryduty.ShardOf(u.Name, shards)}
			out[key] = append(out[key], u)
		}
	}
	maps.DeleteFunc(out, func(key shardKey, _ []*ferrydiscovery.Upstream) bool { return !e.reads(ms, key) })
	return out
}

// reads reports whether a shard is this entry's duty.
func (e *Edge) reads(ms ferrypeer.Members, key shardKey) bool {
	if len(ms.List) <= 1 {
		return true
	}
	duty := ferryduty.Duty(string(dutyConditions) + "/" + key.String())
	var holders []ferryid.EntryName
	if key.domain == e.cfg.Domain {
		holders = ferryduty.InDomain(ms, duty, key.domain)
	} else {
		holders = ferryduty.Holders(ms, duty, 1)
	}
	return len(holders) > 0 && holders[0] == e.cfg.Name
}

// readShard reads the engines of one shard and publishes their conditions.
func (e *Edge) readShard(ctx context.Context, engines Engines, key shardKey, list []*ferrydiscovery.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	list = e.wanting(list)
	read := make([]engineCondition, len(list))
	var wg sync.WaitGroup
	for i, u := range list {
		wg.Add(1)
		e.guard.Go("condition reader", u.Name, func() {
			defer wg.Done()
			read[i] = e.readOne(ctx, engines, u)
		})
	}
	wg.Wait()
	read = filterSilent(read)
	for part := 0; len(read) > 0; part++ {
		n := min(len(read), maxEnginesPerItem)
		e.conditions.Set(fmt.Sprintf("%s/%d", key, part), conditions{List: read[:n]}, conditionTTL)
		read = read[n:]
	}
}

// wanting returns the engines that want requests now.
func (e *Edge) wanting(list []*ferrydiscovery.Upstream) []*ferrydiscovery.Upstream {
	now := e.cfg.Clock.Now()
	return slices.DeleteFunc(slices.Clone(list), func(u *ferrydiscovery.Upstream) bool { return u.Deferred(now) })
}

func (e *Edge) readOne(ctx context.Context, engines Engines, u *ferrydiscovery.Upstream) engineCondition {
	c := engineCondition{Engine: hashOf(u)}
	s, err := engines.State(ctx, u)
	if err != nil {
		e.cfg.Log.Debug().Err(err).Str("Engine", u.Name).Msg("could not read the engine's condition")
		c.Silent = true
		return c
	}
	c.Pace = uint32(toUnits(s.Pace, paceUnit, maxPace))
	c.Running = uint32(toUnits(float64(s.Running+s.Waiting), 1, maxPace))
	c.Used, c.Room = toUnits(float64(s.Used), roomUnit, maxRoom), toUnits(float64(s.Room), roomUnit, maxRoom)
	return c
}

// filterSilent drops the silent engines if most are silent, since then the fault is probably on
// this entry's side.
func filterSilent(list []engineCondition) []engineCondition {
	silent := 0
	for _, c := range list {
		if c.Silent {
			silent++
		}
	}
	if 2*silent <= len(list) {
		return list
	}
	return slices.DeleteFunc(list, func(c engineCondition) bool { return c.Silent })
}

// applyConditions passes the known conditions to the path choosers and reports whether some
// engine is short of memory.
func (e *Edge) applyConditions(ctx context.Context) (short bool) {
	known := e.enginesByHash()
	e.forgetSilent()
	for _, published := range e.conditions.All() {
		for _, c := range published.Value.List {
			u := known[c.Engine]
			if u == nil {
				continue
			}
			ch := e.services.Chooser(u.Service)
			switch {
			case ch == nil:
			case c.Silent:
				e.silent.Store(u.Name, published.At.Time())
				e.probeSilent(ctx, ch, u.Name)
			default:
				e.silent.Delete(u.Name)
				short = short || float64(c.Used) > memoryPressureShare*float64(c.Room)
				ch.Report(u.Name, c.chooserCondition(), published.At.Time())
			}
		}
	}
	return short
}

// engineIndex maps the hashes of one view's engines to the engines; a hash that two engines share maps to nil.
type engineIndex struct {
	view     *ferrydiscovery.View
	services []ferryid.ServiceName
	byHash   map[engineHash]*ferrydiscovery.Upstream
}

// enginesByHash returns the engines by their hashes. It computes them anew only for a new view or other services.
func (e *Edge) enginesByHash() map[engineHash]*ferrydiscovery.Upstream {
	view, names := e.upstreams.View(), slices.Sorted(slices.Values(e.services.Layered()))
	if old := e.engineIndex; old.view == view && slices.Equal(old.services, names) {
		return old.byHash
	}
	out := map[engineHash]*ferrydiscovery.Upstream{}
	for _, name := range names {
		for _, u := range view.Of(name) {
			hash := hashOf(u)
			if _, taken := out[hash]; taken {
				out[hash] = nil
				continue
			}
			out[hash] = u
		}
	}
	e.engineIndex = engineIndex{view: view, services: names, byHash: out}
	return out
}

// probeSilent probes an engine that did not answer another entry, and marks it as down if two probes fail.
func (e *Edge) probeSilent(ctx context.Context, ch *ferrypath.Chooser, name string) {
	u := e.upstreams.View().Get(name)
	if u == nil || ch.IsDown(name) {
		return
	}
	e.guard.Go("engine probe", name, func() {
		if !e.engineReachable(ctx, u) && !e.engineReachable(ctx, u) {
			ch.MarkDown(name)
			e.cfg.Log.Info().Str("Engine", name).Msg("engine did not answer two probes; marked as down")
		}
	})
}

// engineReachable reports whether a connection to the engine can be opened.
func (e *Edge) engineReachable(ctx context.Context, u *ferrydiscovery.Upstream) bool {
	ctx, cancel := context.WithTimeout(ctx, probeDownTimeout)
	defer cancel()
	return e.client.Probe(ctx, u.Address) == nil
}

// forgetSilent drops the engines of which no reader has published lately that they are silent.
func (e *Edge) forgetSilent() {
	e.silent.Range(func(name, at any) bool {
		if e.cfg.Steady.Since(at.(time.Time)) >= conditionTTL {
			e.silent.Delete(name)
		}
		return true
	})
}

// leftToReader reports whether an engine that is down need not be probed, since it did not answer the entry that
// reads its condition for all either. In a small fleet each entry probes all the same.
func (e *Edge) leftToReader(name string) bool {
	at, ok := e.silent.Load(name)
	return ok && e.fleetFactor() > 1 && e.cfg.Steady.Since(at.(time.Time)) < conditionTTL
}

// probeDown probes the engines that are down until they answer.
func (e *Edge) probeDown(ctx context.Context) {
	for e.pause(ctx, probeDownInterval*time.Duration(e.fleetFactor())) {
		for _, name := range e.services.Layered() {
			ch := e.services.Chooser(name)
			if ch == nil {
				continue
			}
			for _, u := range ch.Down() {
				if e.leftToReader(u.Name) {
					continue
				}
				e.guard.Go("engine probe", u.Name, func() {
					if e.engineReachable(ctx, u) {
						ch.MarkUp(u.Name)
						e.cfg.Log.Info().Str("Engine", u.Name).Msg("engine answered a probe; no longer marked as down")
					}
				})
			}
		}
	}
}
