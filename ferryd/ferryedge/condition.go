package ferryedge

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"

	"cactusferry.dev/ferry/ferrydiscovery"
	"cactusferry.dev/ferry/ferryduty"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypath"
	"cactusferry.dev/ferry/ferrypeer"
)

const (
	topicConditions ferrypeer.TopicName = "conditions"
	// readEvery is how often each engine is asked for its condition, by one entry of its failure domain for all.
	readEvery   = time.Second
	readTimeout = 300 * time.Millisecond
	// conditionsKept is how long a reading is passed on.
	conditionsKept = 4 * time.Second
	maxPerItem     = 12 // engines in one item, whose size the overlay bounds
	maxItems       = 4096
	// probeDownEvery is how often engines that did not answer are tried, and probeDownTimeout how long they may take.
	probeDownEvery   = 300 * time.Millisecond
	probeDownTimeout = 100 * time.Millisecond
)

// engineCondition is one engine's condition as entries pass it on.
type engineCondition struct {
	Service ferryid.ServiceName `cbor:"1,keyasint"`
	Name    string              `cbor:"2,keyasint"`
	Pace    float32             `cbor:"3,keyasint"`
	Running int                 `cbor:"4,keyasint"`
	Used    int64               `cbor:"5,keyasint"`
	Room    int64               `cbor:"6,keyasint"`
}

// conditions are some engines' conditions.
type conditions struct {
	List []engineCondition `cbor:"1,keyasint"`
}

// Check returns an error for numbers that no engine can have.
func (c conditions) Check() error {
	if len(c.List) > maxPerItem {
		return fmt.Errorf("conditions of %d engines", len(c.List))
	}
	for _, e := range c.List {
		if math.IsNaN(float64(e.Pace)) || e.Running < 0 || e.Used < 0 || e.Room < 0 {
			return fmt.Errorf("condition of engine %q: pace %v, %d running, %d of %d used", e.Name, e.Pace, e.Running, e.Used, e.Room)
		}
	}
	return nil
}

// dutyConditions is the duty of the one entry of each failure domain that reads its engines' conditions.
const dutyConditions ferryduty.Duty = "conditions"

func (e *Edge) newConditions() {
	e.conditions = ferrypeer.NewLatest[conditions](ferrypeer.LatestConfig{
		Name: topicConditions, Self: e.cfg.Name, Size: maxItems, Volatile: true, Clock: e.cfg.Steady, Events: e.events,
	})
}

// readConditions asks the engines of this failure domain for their conditions, where that is this entry's duty, and takes what others read.
func (e *Edge) readConditions(ctx context.Context) {
	engines := e.cfg.Engines(e.client)
	for e.pause(ctx, readEvery) {
		ms := e.peer.Members()
		if e.Ready() && (len(ms.List) <= 1 || ferryduty.HoldsInDomain(ms, dutyConditions, 1)) {
			e.readAll(ctx, engines)
		}
		e.takeConditions()
	}
}

// readAll reads all engines of this failure domain and tells the other entries.
func (e *Edge) readAll(ctx context.Context, engines Engines) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	var list []engineCondition
	for _, name := range e.services.Layered() {
		for _, u := range e.upstreams.View().Of(name) {
			if u.FailureDomain != e.cfg.Domain {
				continue
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				if c, ok := e.readOne(ctx, engines, u); ok {
					mu.Lock()
					defer mu.Unlock()
					list = append(list, c)
				}
			}()
		}
	}
	wg.Wait()
	for i := 0; i < len(list); i += maxPerItem {
		part := list[i:min(i+maxPerItem, len(list))]
		e.conditions.Set(fmt.Sprintf("%s/%d", e.cfg.Domain, i/maxPerItem), conditions{List: part}, conditionsKept)
	}
}

func (e *Edge) readOne(ctx context.Context, engines Engines, u *ferrydiscovery.Upstream) (engineCondition, bool) {
	s, err := engines.State(ctx, u)
	if err != nil {
		e.cfg.Log.Debug().Err(err).Str("Engine", u.Name).Msg("condition not read")
		return engineCondition{}, false
	}
	return engineCondition{Service: u.Service, Name: u.Name, Pace: float32(s.Pace), Running: s.Running + s.Waiting, Used: s.Used, Room: s.Room}, true
}

// takeConditions hands what is known of the engines to those that choose among them.
func (e *Edge) takeConditions() {
	for _, entry := range e.conditions.All() {
		for _, c := range entry.Value.List {
			if ch := e.services.Chooser(c.Service); ch != nil {
				ch.Report(c.Name, ferrypath.Condition{Pace: float64(c.Pace), Running: c.Running, Used: c.Used, Room: c.Room}, entry.At.Time())
			}
		}
	}
}

// probeDown tries engines that did not answer until they do.
func (e *Edge) probeDown(ctx context.Context) {
	for e.pause(ctx, probeDownEvery) {
		for _, name := range e.services.Layered() {
			ch := e.services.Chooser(name)
			if ch == nil {
				continue
			}
			for _, u := range ch.Down() {
				go func() {
					ctx, cancel := context.WithTimeout(ctx, probeDownTimeout)
					defer cancel()
					if err := e.client.Probe(ctx, u.Address); err == nil {
						ch.Alive(u.Name)
						e.cfg.Log.Info().Str("Engine", u.Name).Msg("engine answers again")
					}
				}()
			}
		}
	}
}
