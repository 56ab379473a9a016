package ferrycapacity

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestOrdersAtThePlannedSize(t *testing.T) {
	p := MeasureOrders(planRunners, false)
	assert.Assert(t, p.Takeover <= 4*orderLoadTime, "%s", p.Takeover)
	assert.Assert(t, p.RestReads <= 160, "%.1f readings a second", p.RestReads)
	assert.Assert(t, p.RestBytes < 0.4*targetBytes, "%.0f B/s", p.RestBytes)
	few := MeasureOrders(4, false)
	old := MeasureOrders(4, true)
	assert.Assert(t, few.Takeover < old.Takeover, "%s, and %s before", few.Takeover, old.Takeover)
	assert.Assert(t, few.RestReads <= old.RestReads && few.RestReads > old.RestReads-0.2, "%.1f readings a second, %.1f before", few.RestReads, old.RestReads)
	assert.Assert(t, few.Takeover < 10*time.Second)
}
