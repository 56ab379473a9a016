package ferryhealth

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestSingleFailuresDoNotOpen(t *testing.T) {
	now := time.Unix(100, 0)
	var h Health
	for range failuresToOpen - 1 {
		h.Failed(now)
		assert.Assert(t, h.Usable(now, false))
	}
	h.Succeeded()
	h.Failed(now)
	assert.Assert(t, h.Usable(now, false), "a success must reset the failure count")
}

func TestOpenTimeDoublesAndTrialCallCloses(t *testing.T) {
	now := time.Unix(100, 0)
	var h Health
	h.Unreachable(now)
	assert.Assert(t, !h.Usable(now, true))
	now = now.Add(unreachableBackoff)
	assert.Assert(t, h.Usable(now, true))
	assert.Assert(t, !h.Usable(now, false), "a half-open breaker must not admit a non-repeatable call")
	h.Chosen(now)
	assert.Assert(t, !h.Usable(now, true), "a half-open breaker must admit one trial call at a time")
	h.Unreachable(now)
	assert.Assert(t, !h.Usable(now.Add(2*unreachableBackoff-1), true))
	assert.Assert(t, h.Usable(now.Add(2*unreachableBackoff), true))
	for range 20 {
		h.Unreachable(now)
	}
	assert.Assert(t, h.Usable(now.Add(maxOpenDuration), true))
	h.Succeeded()
	assert.Assert(t, h.Usable(now, false))
}

func TestRefusalBackoff(t *testing.T) {
	now := time.Unix(100, 0)
	var h Health
	h.Refused(now)
	assert.Assert(t, !h.Usable(now, true))
	h.Refused(now.Add(refusedBackoff / 2)) // a call in flight when the first was refused
	now = now.Add(3 * refusedBackoff / 2)
	assert.Assert(t, h.Usable(now, false))
	for range 10 {
		h.Refused(now)
		now = now.Add(maxRefusedBackoff)
		assert.Assert(t, h.Usable(now, false))
	}
	h.Refused(now)
	assert.Assert(t, !h.Usable(now.Add(maxRefusedBackoff-1), true), "consecutive refusals must increase the backoff")
	h.Succeeded()
	h.Refused(now)
	assert.Assert(t, h.Usable(now.Add(refusedBackoff), true))
}
