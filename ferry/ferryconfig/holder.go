package ferryconfig

import (
	"sync"
	"sync/atomic"
	"time"
)

// Verdict says what became of an offered configuration.
type Verdict int

// The verdicts on an offered configuration.
const (
	// Taken means that it is in force now.
	Taken Verdict = iota
	// Known means that it was in force already.
	Known
	// Older means that a later one is in force.
	Older
)

func (v Verdict) String() string {
	switch v {
	case Taken:
		return "Taken"
	case Known:
		return "Known"
	case Older:
		return "Older"
	}
	return "Unknown"
}

// InForce reports whether the offered configuration was in force already.
func (v Verdict) InForce() bool { return v == Known }

// Holder holds the configuration in force, which only moves to higher versions, and the time at which it was last proved current.
type Holder struct {
	current atomic.Pointer[Snapshot]
	proved  atomic.Pointer[time.Time]

	mu      sync.Mutex
	changed []func(*Snapshot)
}

// Current returns the configuration in force, or nil before the first.
func (h *Holder) Current() *Snapshot {
	return h.current.Load()
}

// OnChange adds a function that is called after each change, in order, and must not block.
func (h *Holder) OnChange(f func(*Snapshot)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.changed = append(h.changed, f)
}

// Offer brings a snapshot into force if its version is above the one in force.
func (h *Holder) Offer(s *Snapshot) Verdict {
	h.mu.Lock()
	defer h.mu.Unlock()
	if old := h.current.Load(); old != nil {
		switch {
		case s.Version == old.Version:
			return Known
		case s.Version < old.Version:
			return Older
		}
	}
	h.current.Store(s)
	for _, f := range h.changed {
		f(s)
	}
	return Taken
}

// Prove notes that a read begun at the given time showed no version later than the one in force now.
func (h *Holder) Prove(v Version, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s := h.current.Load(); s == nil || s.Version < v {
		return
	}
	if old := h.proved.Load(); old == nil || old.Before(at) {
		h.proved.Store(&at)
	}
}

// Age is how long ago the configuration in force was last proved current, and false if it never was.
func (h *Holder) Age(now time.Time) (time.Duration, bool) {
	at := h.proved.Load()
	if at == nil {
		return 0, false
	}
	return now.Sub(*at), true
}
