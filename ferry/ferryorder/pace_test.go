package ferryorder

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryservice"
)

// countOrders returns the number of orders within the duration for 40 engines, each with all layers.
func countOrders(t *testing.T, rate float64, d time.Duration) int {
	t.Helper()
	doc := ferryservice.Document{Service: "herd-llm", Kind: ferryservice.KindModel}
	doc.Model = ferryservice.Model{Name: "m", Version: "1", Layers: 4, LoadLayersPerSecond: rate}
	for i := range 40 {
		doc.Upstreams = append(doc.Upstreams, ferryservice.Upstream{
			Name: ferryid.UpstreamName(string(rune('a' + i))), Address: string(rune('a' + i)), Layers: ferryid.LayerRange{To: 4},
		})
	}
	c := NewCore(Pace{})
	c.SetWanted(WantedOf(1, doc))
	c.SetFence(1)
	now := time.Unix(1_800_000_000, 0)
	for _, r := range c.wanted.Engines {
		c.ApplyReport(r.Name, Report{}, now)
	}
	n := 0
	for end := now.Add(d); !now.After(end); now = now.Add(100 * time.Millisecond) {
		orders, _ := c.Next(now)
		n += len(orders)
	}
	return n
}

func TestDocumentLimitsLoadRate(t *testing.T) {
	assert.Equal(t, countOrders(t, 0, 2*time.Second), 40)
	// A burst of one engine's four layers, then two layers per second.
	assert.Equal(t, countOrders(t, 2, 10*time.Second), 6)
}
