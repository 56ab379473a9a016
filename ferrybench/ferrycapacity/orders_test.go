package ferrycapacity

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestOrdersAtThePlannedSize(t *testing.T) {
	p := MeasureOrders(planRunners, false)
	assert.Assert(t, p.Takeover <= 4*orderLoadTime, "takeover took %s, want at most 4 load times", p.Takeover)
	assert.Assert(t, p.IdleReads <= 160, "%.1f reads/s at rest, want at most 160", p.IdleReads)
	assert.Assert(t, p.IdleBytes < 0.4*targetBytes, "%.0f B/s at rest, want less than 40%% of the target", p.IdleBytes)
	few := MeasureOrders(4, false)
	old := MeasureOrders(4, true)
	assert.Assert(t, few.Takeover < old.Takeover, "takeover took %s, with the former design %s", few.Takeover, old.Takeover)
	assert.Assert(t, few.IdleReads <= old.IdleReads && few.IdleReads > old.IdleReads-0.2, "%.1f reads/s at rest, with the former design %.1f", few.IdleReads, old.IdleReads)
	assert.Assert(t, few.Takeover < 10*time.Second)
}
