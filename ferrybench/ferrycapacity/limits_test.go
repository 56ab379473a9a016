package ferrycapacity

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestLimitsCostFewMessages(t *testing.T) {
	p := MeasureLimits(9, 10)
	assert.Assert(t, p.Calls > 1)
	assert.Assert(t, p.Rounds < 8, "%.1f wake-ups a second", p.Rounds)
	assert.Assert(t, p.Asks < 2.2*p.Calls, "%.1f asks a second for %.1f calls", p.Asks, p.Calls)
	assert.Assert(t, p.Refused < 0.11, "%.3f refused", p.Refused)
}
