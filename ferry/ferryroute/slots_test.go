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
		{"sum of whole runners", []int{8, 4}, nil, -1, 1, 12},
		{"a leaving one does not count", []int{8, 4}, nil, 0, 1, 4},
		{"none stated", []int{0, 0}, nil, -1, 1, 2 * ferryservice.DefaultSlots},
		{"fewer slots than entries", []int{1, 1}, nil, -1, 9, 1},
		{"the scarcest layer decides", []int{8, 4, 4}, []ferryid.LayerRange{layers(0, 4), layers(4, 8), layers(4, 6)}, -1, 1, 4},
		{"a layer that none holds", []int{8, 4}, []ferryid.LayerRange{layers(0, 4), layers(4, 8)}, 1, 1, 0},
		{"none left", []int{8}, nil, 0, 1, 0},
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
