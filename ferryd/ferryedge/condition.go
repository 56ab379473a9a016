package ferryedge

import (
	"context"
	"fmt"
	"math"
	"slices"
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
	readEvery = 1500 * time.Millisecond
	// readOften is how often while some engine's memory is used by more than pressed.
	readOften   = 500 * time.Millisecond
	pressed     = 0.75
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
	// Silent says that the engine did not answer the reader.
	Silent bool `cbor:"7,keyasint,omitempty"`
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
		Name: topicConditions, Self: e.cfg.Name, Size: maxItems, Clock: e.cfg.Steady, Events: e.events,
	})
}

// readConditions asks the engines of this failure domain for their conditions, where that is this entry's duty, and takes what others read.
func (e *Edge) readConditions(ctx context.Context) {
	engines := e.cfg.Engines(e.client)
	every := readEvery
	for e.pause(ctx, every) {
		ms := e.peer.Members()
		if e.Ready() && (len(ms.List) <= 1 || ferryduty.HoldsInDomain(ms, dutyConditions, 1)) {
			e.readAll(ctx, engines)
		}
		every = readEvery
		if e.takeConditions(ctx) {
			every = readOften
		}
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
				c := e.readOne(ctx, engines, u)
				mu.Lock()
				defer mu.Unlock()
				list = append(list, c)
			}()
		}
	}
	wg.Wait()
	list = believable(list)
	for i := 0; i < len(list); i += maxPerItem {
		part := list[i:min(i+maxPerItem, len(list))]
		e.conditions.Set(fmt.Sprintf("%s/%d", e.cfg.Domain, i/maxPerItem), conditions{List: part}, conditionsKept)
	}
}

func (e *Edge) readOne(ctx context.Context, engines Engines, u *ferrydiscovery.Upstream) engineCondition {
	c := engineCondition{Service: u.Service, Name: u.Name}
	s, err := engines.State(ctx, u)
	if err != nil {
		e.cfg.Log.Debug().Err(err).Str("Engine", u.Name).Msg("condition not read")
		c.Silent = true
		return c
	}
	c.Pace, c.Running, c.Used, c.Room = float32(s.Pace), s.Running+s.Waiting, s.Used, s.Room
	return c
}

// believable leaves the silent engines out if most are silent: then the trouble is probably the reader's own.
func believable(list []engineCondition) []engineCondition {
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

// takeConditions hands what is known of the engines to those that choose among them, and reports whether some have little memory left.
func (e *Edge) takeConditions(ctx context.Context) (short bool) {
	for _, entry := range e.conditions.All() {
		for _, c := range entry.Value.List {
			ch := e.services.Chooser(c.Service)
			switch {
			case ch == nil:
			case c.Silent:
				e.doubt(ctx, ch, c.Name)
			default:
				short = short || float64(c.Used) > pressed*float64(c.Room)
				ch.Report(c.Name, ferrypath.Condition{Pace: float64(c.Pace), Running: c.Running, Used: c.Used, Room: c.Room}, entry.At.Time())
			}
		}
	}
	return short
}

// doubt tries an engine that did not answer another entry.
func (e *Edge) doubt(ctx context.Context, ch *ferrypath.Chooser, name string) {
	u := e.upstreams.View().Get(name)
	if u == nil || ch.IsDown(name) {
		return
	}
	go func() {
		if !e.answers(ctx, u) && !e.answers(ctx, u) {
			ch.Dead(name)
			e.cfg.Log.Info().Str("Engine", name).Msg("engine does not answer")
		}
	}()
}

// answers reports whether a connection to an engine can be opened.
func (e *Edge) answers(ctx context.Context, u *ferrydiscovery.Upstream) bool {
	ctx, cancel := context.WithTimeout(ctx, probeDownTimeout)
	defer cancel()
	return e.client.Probe(ctx, u.Address) == nil
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
					if e.answers(ctx, u) {
						ch.Alive(u.Name)
						e.cfg.Log.Info().Str("Engine", u.Name).Msg("engine answers again")
					}
				}()
			}
		}
	}
}
