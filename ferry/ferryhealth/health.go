package ferryhealth

import "time"

const (
	// unreachableBackoff and failedBackoff are the first open times; each consecutive one doubles.
	unreachableBackoff = 400 * time.Millisecond
	failedBackoff      = 300 * time.Millisecond
	// refusedBackoff is the backoff after a refusal; it doubles with each consecutive refusal up to maxRefusedBackoff.
	refusedBackoff    = 150 * time.Millisecond
	maxRefusedBackoff = 1200 * time.Millisecond
	maxOpenDuration   = 4 * time.Second
	// failuresToOpen is the number of consecutive failures that open the breaker.
	// Single failures are usually errors of the service and not of the upstream.
	failuresToOpen = 3
	// halfOpenDuration is how long after the open time the breaker admits only repeatable calls.
	halfOpenDuration = 2 * time.Second
)

// Health is the circuit breaker of one upstream; its zero value is closed.
type Health struct {
	openUntil time.Time
	openFor   time.Duration
	failures  int
	tripped   bool
	// refusedFor is the backoff after the last refusal.
	refusedFor time.Duration
}

// Usable reports whether the upstream may be chosen.
// After its open time the breaker is half-open and admits only repeatable calls for halfOpenDuration.
func (h *Health) Usable(now time.Time, repeatable bool) bool {
	if now.Before(h.openUntil) {
		return false
	}
	return !h.tripped || repeatable || now.Sub(h.openUntil) > halfOpenDuration
}

// Chosen records that the upstream was chosen; a half-open breaker then admits no other call for failedBackoff.
func (h *Health) Chosen(now time.Time) {
	if h.tripped {
		h.openUntil = now.Add(failedBackoff)
	}
}

// Succeeded records a successful call, which closes the breaker and resets all backoffs.
func (h *Health) Succeeded() { *h = Health{} }

// Failed records a failed call; it opens the breaker after failuresToOpen consecutive failures, or if it is half-open.
func (h *Health) Failed(now time.Time) {
	h.failures++
	if h.failures >= failuresToOpen || h.tripped {
		h.open(now, failedBackoff)
	}
}

// Unreachable records a failed connection attempt, which opens the breaker.
func (h *Health) Unreachable(now time.Time) {
	h.failures++
	h.open(now, unreachableBackoff)
}

// Refused records that the upstream refused a call for lack of capacity, which excludes it for a short backoff.
func (h *Health) Refused(now time.Time) {
	if !now.Before(h.openUntil) {
		h.refusedFor = min(max(2*h.refusedFor, refusedBackoff), maxRefusedBackoff)
	}
	if until := now.Add(h.refusedFor); h.openUntil.Before(until) {
		h.openUntil = until
	}
}

func (h *Health) open(now time.Time, minOpen time.Duration) {
	h.openFor = min(max(2*h.openFor, minOpen), maxOpenDuration)
	h.openUntil, h.tripped = now.Add(h.openFor), true
}
