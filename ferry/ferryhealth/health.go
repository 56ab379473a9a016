package ferryhealth

import "time"

const (
	// unreachableFor and failedFor are the first times out; each further one in a row doubles.
	unreachableFor = 400 * time.Millisecond
	failedFor      = 300 * time.Millisecond
	// refusedFor is the time out after a refusal; it doubles with each in a row up to refusedMost.
	refusedFor  = 150 * time.Millisecond
	refusedMost = 1200 * time.Millisecond
	longestOut  = 4 * time.Second
	// failuresToOut is how many failures in a row take an upstream out: single ones are the services' own.
	failuresToOut = 3
	// provingFor is how long after its time out an upstream gets only calls that can be sent again.
	provingFor = 2 * time.Second
)

// Health is whether one upstream is out for a while; its zero value is that of an upstream that has failed nothing.
type Health struct {
	until time.Time
	out   time.Duration
	fails int
	prove bool
	// full is the time out after the last refusal.
	full time.Duration
}

// Usable reports whether the upstream may be chosen; after a time out it proves itself first on calls that can be sent again.
func (h *Health) Usable(now time.Time, repeatable bool) bool {
	if now.Before(h.until) {
		return false
	}
	return !h.prove || repeatable || now.Sub(h.until) > provingFor
}

// Chosen keeps an upstream that is proving itself to one call at a time.
func (h *Health) Chosen(now time.Time) {
	if h.prove {
		h.until = now.Add(failedFor)
	}
}

// Succeeded notes a call that went well, which ends all doubt.
func (h *Health) Succeeded() { *h = Health{} }

// Failed notes a call that the upstream failed.
func (h *Health) Failed(now time.Time) {
	h.fails++
	if h.fails >= failuresToOut || h.prove {
		h.takeOut(now, failedFor)
	}
}

// Unreachable notes that no connection could be had.
func (h *Health) Unreachable(now time.Time) {
	h.fails++
	h.takeOut(now, unreachableFor)
}

// Refused notes that the upstream had no room.
func (h *Health) Refused(now time.Time) {
	if !now.Before(h.until) {
		h.full = min(max(2*h.full, refusedFor), refusedMost)
	}
	if until := now.Add(h.full); h.until.Before(until) {
		h.until = until
	}
}

func (h *Health) takeOut(now time.Time, least time.Duration) {
	h.out = min(max(2*h.out, least), longestOut)
	h.until, h.prove = now.Add(h.out), true
}
