package ferrycapacity

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestOneLineChangeIsSentAsSmallDelta(t *testing.T) {
	p := MeasureChange(9, 64<<10)
	assert.Assert(t, p.DeltaBytes < p.FullBytes/10, "delta takes %.0f bytes, full document %.0f", p.DeltaBytes, p.FullBytes)
	assert.Assert(t, p.DeltaBytes < 5<<10, "delta takes %.0f bytes, want less than 5 KiB", p.DeltaBytes)
	assert.Assert(t, p.Propagation < time.Second, "propagation took %s, want less than 1 s", p.Propagation)
}
