package ferryorder

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestOlderDocumentIsIgnored(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	c := NewCore(Pace{})
	c.SetWanted(wantedAt(3))
	c.SetWanted(wantedAt(2))
	c.SetFence(1)
	for _, r := range wantedAt(2).Engines {
		c.ApplyReport(r.Name, Report{Target: r.Target, Ready: true}, now)
	}
	sends, blocked := c.Next(now)
	assert.Equal(t, len(sends)+len(blocked), len(wantedAt(3).Engines))
	assert.Assert(t, len(sends) > 0)
	for _, s := range sends {
		assert.Equal(t, s.Order.Version, "v3")
	}
}
