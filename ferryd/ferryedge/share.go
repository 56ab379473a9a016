package ferryedge

import (
	"context"
	"fmt"
	"time"

	"cactusferry.dev/ferry/ferrybudget"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypeer"
)

const (
	topicStates ferrypeer.TopicName = "states"
	// shareEvery is how often an entry looks whether it has something to tell, in a fleet of up to smallFleet entries; larger ones tell less often.
	shareEvery = 100 * time.Millisecond
	smallFleet = 16
	// stateKept is how long what an entry told is believed; it tells again in half that time while there is anything to tell.
	stateKept   = 4 * time.Second
	maxServices = 64
	maxEntries  = 1024
)

// entryState is what one entry tells the others of itself.
type entryState struct {
	// Spent is what it has sent again of each service in the last window.
	Spent map[ferryid.ServiceName]ferrybudget.Spent `cbor:"1,keyasint"`
	// Blind says that it cannot prove the configuration current, and so should get no callers where others can.
	Blind bool `cbor:"2,keyasint,omitempty"`
	// Orders says that it holds the lease for the orders to engines.
	Orders bool `cbor:"3,keyasint,omitempty"`
	// Unreached says that its own calls to the platform fail, and so that it should hold no duty that needs them.
	Unreached bool `cbor:"4,keyasint,omitempty"`
}

// Check returns an error for numbers that no entry can have.
func (s entryState) Check() error {
	if len(s.Spent) > maxServices {
		return fmt.Errorf("spent on %d services", len(s.Spent))
	}
	for name, v := range s.Spent {
		if v.Requests < 0 || v.Repeats < 0 {
			return fmt.Errorf("spent %d of %d on %q", v.Repeats, v.Requests, name)
		}
	}
	return nil
}

func (e *Edge) newShare() {
	e.states = ferrypeer.NewLatest[entryState](ferrypeer.LatestConfig{
		Name: topicStates, Self: e.cfg.Name, Size: maxEntries, Clock: e.cfg.Steady, Events: e.events,
	})
}

// shareState tells the other entries what this one sends again and whether it reaches the platform, and takes what they tell.
func (e *Edge) shareState(ctx context.Context) {
	told := entryState{}
	toldAt := e.cfg.Clock.Now()
	for e.pause(ctx, e.shareInterval()) {
		e.services.SetSpent(e.othersSpent())
		now := entryState{Spent: e.services.Spent(), Blind: e.blind.Load(), Orders: e.placement.held.Load(), Unreached: !e.relay.Reached()}
		if !told.differs(now) && (now.quiet() || e.cfg.Clock.Since(toldAt) < stateKept/2) {
			continue
		}
		told, toldAt = now, e.cfg.Clock.Now()
		e.states.Set(string(e.cfg.Name), now, stateKept)
	}
}

// shareInterval grows with the fleet, so that what one entry hears does not.
func (e *Edge) shareInterval() time.Duration {
	return shareEvery * time.Duration(e.crowd())
}

// crowd is how many times as large as a small fleet this one is, and at least one.
func (e *Edge) crowd() int { return crowd(len(e.peer.Members().Live())) }

func crowd(entries int) int { return max(1, entries/smallFleet) }

func (e *Edge) othersSpent() map[ferryid.ServiceName][]ferrybudget.Spent {
	told := map[ferryid.ServiceName][]ferrybudget.Spent{}
	for _, entry := range e.states.All() {
		if entry.Origin == e.cfg.Name {
			continue
		}
		for name, v := range entry.Value.Spent {
			told[name] = append(told[name], v)
		}
	}
	return told
}

// isBlind reports whether an entry cannot prove the configuration current, as far as this one has heard.
func (e *Edge) isBlind(name ferryid.EntryName) bool {
	if name == e.cfg.Name {
		return e.blind.Load()
	}
	entry, ok := e.states.Get(string(name))
	return ok && entry.Value.Blind
}

// reaches reports whether an entry's own calls to the platform are answered, as far as this one has heard.
func (e *Edge) reaches(name ferryid.EntryName) bool {
	if name == e.cfg.Name {
		return e.relay.Reached()
	}
	entry, ok := e.states.Get(string(name))
	return !ok || !entry.Value.Unreached
}

// differs reports whether the others should know of the newer state at once; that less was spent they may hear later.
func (s entryState) differs(newer entryState) bool {
	for name, v := range newer.Spent {
		if v.Repeats > s.Spent[name].Repeats {
			return true
		}
	}
	return s.Blind != newer.Blind || s.Orders != newer.Orders || s.Unreached != newer.Unreached
}

// quiet reports whether there is nothing that the others must go on knowing.
func (s entryState) quiet() bool {
	return len(s.Spent) == 0 && !s.Blind && !s.Orders && !s.Unreached
}
