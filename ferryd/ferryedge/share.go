package ferryedge

import (
	"context"
	"fmt"
	"math"
	"time"

	"cactusferry.dev/ferry/ferrybudget"
	"cactusferry.dev/ferry/ferryconfig"
	"cactusferry.dev/ferry/ferryevent"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypeer"
)

const (
	topicStates ferrypeer.TopicName = "states"
	// shareInterval is the interval at which an entry checks for news to publish, in a fleet of up to
	// smallFleet entries. It grows with the fleet.
	shareInterval = 100 * time.Millisecond
	smallFleet    = 16
	// stateTTL is how long a published state is valid. A state that is not quiet is
	// published again after half of it.
	stateTTL    = 4 * time.Second
	maxServices = 64
	maxEntries  = 1024
)

// entryState is the state of an entry as published to the others.
type entryState struct {
	// RetryUsage is the use of the retry budgets in the last window, by service.
	RetryUsage map[ferryid.ServiceName]ferrybudget.Usage `cbor:"1,keyasint"`
	// ConfigStale is set if the entry cannot prove its configuration current. Callers should be
	// sent to others if possible.
	ConfigStale bool `cbor:"2,keyasint,omitempty"`
	// Orders is set if the entry holds the placement lease.
	Orders bool `cbor:"3,keyasint,omitempty"`
	// PlatformLost is set if the entry's direct calls to the platform fail. It should
	// hold no duty that needs them.
	PlatformLost bool `cbor:"4,keyasint,omitempty"`
	// Process is the incarnation that published the state.
	Process ferryid.Incarnation `cbor:"5,keyasint,omitempty"`
	// ConfigAhead is the version of the configuration in force while the platform holds an older one, since it has come
	// back from a copy; else 0.
	ConfigAhead ferryconfig.Version `cbor:"6,keyasint,omitempty"`
}

// Check returns an error if a number is out of range.
func (s entryState) Check() error {
	if len(s.RetryUsage) > maxServices {
		return fmt.Errorf("retry usage lists %d services, at most 64 allowed", len(s.RetryUsage))
	}
	for name, v := range s.RetryUsage {
		if v.Requests < 0 || v.Repeats < 0 || v.Shared < 0 {
			return fmt.Errorf("negative retry usage: %d retries of %d requests to service %q", v.Repeats, v.Requests, name)
		}
	}
	return nil
}

func (e *Edge) newStates() {
	e.states = ferrypeer.NewLatest[entryState](ferrypeer.LatestConfig{
		Name: topicStates, Self: e.cfg.Name, Size: maxEntries, Clock: e.cfg.Steady, Events: e.events,
	})
}

// shareEntryState publishes this entry's state when it changes, and applies the use of the
// retry budget by the others.
func (e *Edge) shareEntryState(ctx context.Context) {
	published := entryState{}
	publishedAt := e.cfg.Clock.Now()
	received := receipts{}
	for e.pause(ctx, e.scaledShareInterval()) {
		e.services.SetRetryUsage(e.reportedRetryUsage(received))
		now := entryState{
			RetryUsage: e.services.RetryUsage(), ConfigStale: e.configStale.Load(), Orders: e.placement.held.Load(),
			PlatformLost: !e.relay.PlatformReachable(), Process: e.self, ConfigAhead: ferryconfig.Version(e.configAhead.Load()),
		}
		if !published.differs(now) && e.cfg.Clock.Since(publishedAt) < e.republishInterval(now) {
			continue
		}
		published, publishedAt = now, e.cfg.Clock.Now()
		e.states.Set(string(e.cfg.Name), now, stateTTL)
	}
}

// republishInterval returns the interval at which an unchanged state is published again.
func (e *Edge) republishInterval(s entryState) time.Duration {
	switch {
	case s.quiet():
		return math.MaxInt64
	case len(s.RetryUsage) > 0 && e.fleetFactor() == 1:
		return ferrybudget.ReportInterval
	}
	return stateTTL / 2
}

// scaledShareInterval returns the share interval for the size of the fleet, so that the
// received volume stays constant.
func (e *Edge) scaledShareInterval() time.Duration {
	return shareInterval * time.Duration(e.fleetFactor())
}

// fleetFactor returns how many times as large as smallFleet the fleet is, at least 1.
func (e *Edge) fleetFactor() int { return fleetFactorOf(len(e.peer.Members().Live())) }

func fleetFactorOf(entries int) int { return max(1, entries/smallFleet) }

// receipts holds when the latest state of each entry was received, by this machine's clock.
type receipts map[ferryid.EntryName]receipt

type receipt struct {
	published ferryevent.Timestamp
	at        time.Time
}

// age returns the time since the state published at the given time was first seen.
func (r receipts) age(name ferryid.EntryName, published ferryevent.Timestamp, now time.Time) time.Duration {
	if old, ok := r[name]; ok && old.published == published {
		return now.Sub(old.at)
	}
	r[name] = receipt{published: published, at: now}
	return 0
}

// reportedRetryUsage returns the use of the retry budgets that other entries have published.
func (e *Edge) reportedRetryUsage(received receipts) map[ferryid.ServiceName][]ferrybudget.Report {
	now := e.cfg.Steady.Now()
	out := map[ferryid.ServiceName][]ferrybudget.Report{}
	for _, published := range e.states.All() {
		if published.Origin == e.cfg.Name {
			continue
		}
		age := received.age(published.Origin, published.At, now)
		for name, v := range published.Value.RetryUsage {
			out[name] = append(out[name], ferrybudget.Report{Entry: published.Origin, Process: published.Value.Process, Usage: v, Age: age})
		}
	}
	return out
}

// isConfigStale reports whether an entry has published that it cannot prove its configuration current.
func (e *Edge) isConfigStale(name ferryid.EntryName) bool {
	if name == e.cfg.Name {
		return e.configStale.Load()
	}
	published, ok := e.states.Get(string(name))
	return ok && published.Value.ConfigStale
}

// reachesPlatform reports whether an entry's direct calls to the platform succeed, as far as known.
func (e *Edge) reachesPlatform(name ferryid.EntryName) bool {
	if name == e.cfg.Name {
		return e.relay.PlatformReachable()
	}
	published, ok := e.states.Get(string(name))
	return !ok || !published.Value.PlatformLost
}

// differs reports whether the newer state must be published at once. A lower use of
// the retry budget can wait.
func (s entryState) differs(newer entryState) bool {
	for name, v := range newer.RetryUsage {
		if v.Repeats > s.RetryUsage[name].Repeats || v.Shared > s.RetryUsage[name].Shared {
			return true
		}
	}
	return s.ConfigStale != newer.ConfigStale || s.Orders != newer.Orders || s.PlatformLost != newer.PlatformLost || s.ConfigAhead != newer.ConfigAhead
}

// quiet reports whether the state need not be published again before it expires.
func (s entryState) quiet() bool {
	return len(s.RetryUsage) == 0 && !s.ConfigStale && !s.Orders && !s.PlatformLost && s.ConfigAhead == 0
}
