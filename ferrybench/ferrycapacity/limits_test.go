package ferrycapacity

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestLimitsNeedFewMessages(t *testing.T) {
	p := MeasureLimits(9, 10)
	assert.Assert(t, p.Calls > 1)
	assert.Assert(t, p.Rounds < 8, "%.1f rounds/s, want fewer than 8", p.Rounds)
	assert.Assert(t, p.Asks < 2.2*p.Calls, "%.1f asks/s for %.1f calls/s, want fewer than 2.2 asks per call", p.Asks, p.Calls)
	assert.Assert(t, p.Refused < 0.11, "share of refused calls is %.3f, want less than 0.11", p.Refused)
}
