package ferrycapacity

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestAChangedLineCostsLittle(t *testing.T) {
	p := MeasureChange(9, 64<<10)
	assert.Assert(t, p.Difference < p.Whole/10, "%.0f bytes, %.0f whole", p.Difference, p.Whole)
	assert.Assert(t, p.Difference < 5<<10, "%.0f bytes", p.Difference)
	assert.Assert(t, p.Everywhere < time.Second, "%s", p.Everywhere)
}
