package ferryroute

import (
	"testing"

	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryservice"
)

func TestSlots(t *testing.T) {
	layers := func(from, to ferryid.Layer) ferryid.LayerRange { return ferryid.LayerRange{From: from, To: to} }
	tests := []struct {
		name    string
		slots   []int
		layers  []ferryid.LayerRange
		leaving int
		entries int
		want    int
	}{
		{"upstreams without layers add up", []int{8, 4}, nil, -1, 1, 12},
		{"leaving upstream not counted", []int{8, 4}, nil, 0, 1, 4},
		{"slots not configured", []int{0, 0}, nil, -1, 1, 2 * ferryservice.DefaultSlots},
		{"fewer slots than entries", []int{1, 1}, nil, -1, 9, 1},
		{"layer with the fewest slots", []int{8, 4, 4}, []ferryid.LayerRange{layers(0, 4), layers(4, 8), layers(4, 6)}, -1, 1, 4},
		{"layer without a usable upstream", []int{8, 4}, []ferryid.LayerRange{layers(0, 4), layers(4, 8)}, 1, 1, 0},
		{"all upstreams leaving", []int{8}, nil, 0, 1, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := document(len(tt.slots))
			for i := range d.Upstreams {
				d.Upstreams[i].Slots = tt.slots[i]
				d.Upstreams[i].Leaving = i == tt.leaving
				if tt.layers != nil {
					d.Upstreams[i].Layers = tt.layers[i]
				}
			}
			tb := NewTable(Options{})
			tb.SetDocument(d)
			tb.SetShare(0, tt.entries)
			assert.Equal(t, tb.Snapshot().Slots(), tt.want)
		})
	}
}
