package ferryhealth

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestSingleFailuresAreTheServicesOwn(t *testing.T) {
	now := time.Unix(100, 0)
	var h Health
	for range failuresToOut - 1 {
		h.Failed(now)
		assert.Assert(t, h.Usable(now, false))
	}
	h.Succeeded()
	h.Failed(now)
	assert.Assert(t, h.Usable(now, false), "a success in between ends the doubt")
}

func TestTimeOutsDoubleAndEndOnCallsThatCanBeSentAgain(t *testing.T) {
	now := time.Unix(100, 0)
	var h Health
	h.Unreachable(now)
	assert.Assert(t, !h.Usable(now, true))
	now = now.Add(unreachableFor)
	assert.Assert(t, h.Usable(now, true))
	assert.Assert(t, !h.Usable(now, false), "a call that must not repeat waits until the upstream has proved itself")
	h.Chosen(now)
	assert.Assert(t, !h.Usable(now, true), "one call at a time proves it")
	h.Unreachable(now)
	assert.Assert(t, !h.Usable(now.Add(2*unreachableFor-1), true))
	assert.Assert(t, h.Usable(now.Add(2*unreachableFor), true))
	for range 20 {
		h.Unreachable(now)
	}
	assert.Assert(t, h.Usable(now.Add(longestOut), true))
	h.Succeeded()
	assert.Assert(t, h.Usable(now, false))
}

func TestAFullUpstreamIsOutForAMoment(t *testing.T) {
	now := time.Unix(100, 0)
	var h Health
	h.Refused(now)
	assert.Assert(t, !h.Usable(now, true))
	h.Refused(now.Add(refusedFor / 2)) // one that was under way
	now = now.Add(3 * refusedFor / 2)
	assert.Assert(t, h.Usable(now, false))
	for range 10 {
		h.Refused(now)
		now = now.Add(refusedMost)
		assert.Assert(t, h.Usable(now, false))
	}
	h.Refused(now)
	assert.Assert(t, !h.Usable(now.Add(refusedMost-1), true), "one that goes on refusing is asked less often")
	h.Succeeded()
	h.Refused(now)
	assert.Assert(t, h.Usable(now.Add(refusedFor), true))
}
