package ferryedge

import (
	"context"
	"fmt"
	"maps"
	"time"

	"cactusferry.dev/ferry/ferrybudget"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypeer"
)

const (
	topicSpent ferrypeer.TopicName = "spent"
	// shareEvery is how often an entry looks whether it has something to tell, in a fleet of up to shareEntries; larger ones tell less often.
	shareEvery   = 200 * time.Millisecond
	shareEntries = 16
	// spentKept is how long what an entry told is counted; it tells again in half that time while it has spent anything.
	spentKept   = 4 * time.Second
	maxServices = 64
	maxEntries  = 1024
)

// spent is what one entry has sent again of each service in the last window.
type spent struct {
	Services map[ferryid.ServiceName]ferrybudget.Spent `cbor:"1,keyasint"`
}

// Check returns an error for numbers that no entry can have.
func (s spent) Check() error {
	if len(s.Services) > maxServices {
		return fmt.Errorf("spent on %d services", len(s.Services))
	}
	for name, v := range s.Services {
		if v.Requests < 0 || v.Repeats < 0 {
			return fmt.Errorf("spent %d of %d on %q", v.Repeats, v.Requests, name)
		}
	}
	return nil
}

func (e *Edge) newShare() {
	e.spent = ferrypeer.NewLatest[spent](ferrypeer.LatestConfig{
		Name: topicSpent, Self: e.cfg.Name, Size: maxEntries, Volatile: true, Clock: e.cfg.Steady, Events: e.events,
	})
}

// shareSpent tells the other entries what this one sends again, and takes what they tell.
func (e *Edge) shareSpent(ctx context.Context) {
	told := map[ferryid.ServiceName]ferrybudget.Spent{}
	toldAt := e.cfg.Clock.Now()
	for e.pause(ctx, e.shareInterval()) {
		e.services.SetSpent(e.othersSpent())
		now := e.services.Spent()
		if !moved(told, now) && (e.cfg.Clock.Since(toldAt) < spentKept/2 || quiet(now)) {
			continue
		}
		told, toldAt = now, e.cfg.Clock.Now()
		e.spent.Set(string(e.cfg.Name), spent{Services: now}, spentKept)
	}
}

// shareInterval grows with the fleet, so that what one entry hears does not.
func (e *Edge) shareInterval() time.Duration {
	n := len(e.peer.Members().Live())
	return shareEvery * time.Duration(max(1, n/shareEntries))
}

func (e *Edge) othersSpent() map[ferryid.ServiceName]ferrybudget.Spent {
	sum := map[ferryid.ServiceName]ferrybudget.Spent{}
	for _, entry := range e.spent.All() {
		if entry.Origin == e.cfg.Name {
			continue
		}
		for name, v := range entry.Value.Services {
			s := sum[name]
			sum[name] = ferrybudget.Spent{Requests: s.Requests + v.Requests, Repeats: s.Repeats + v.Repeats}
		}
	}
	return sum
}

// moved reports whether more has been sent again than the others know of.
func moved(told, now map[ferryid.ServiceName]ferrybudget.Spent) bool {
	for name, v := range now {
		if v.Repeats != told[name].Repeats {
			return true
		}
	}
	return false
}

// quiet reports whether nothing was sent again of late.
func quiet(now map[ferryid.ServiceName]ferrybudget.Spent) bool {
	for v := range maps.Values(now) {
		if v.Repeats > 0 {
			return false
		}
	}
	return true
}
