package main

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusferry.dev/ferrybench/ferryload"
	"cactusferry.dev/ferrybench/ferryworkload"
	"cactusferry.dev/ferrystand/ferrydemo"
)

func TestCapacityFollowsFaults(t *testing.T) {
	l := &liveFleet{workload: &ferryworkload.Workload{Faults: ferryworkload.Faults{
		{At: ferryworkload.Duration(time.Second), Kind: ferryworkload.FaultKill, First: 0, Count: 1},
		{At: ferryworkload.Duration(2 * time.Second), Kind: ferryworkload.FaultSlow, First: 1, Count: 2, Factor: 0.5},
		{At: ferryworkload.Duration(3 * time.Second), Kind: ferryworkload.FaultHeal, First: 0, Count: 3},
	}}}
	l.Fleet = &ferrydemo.Fleet{}
	for range 4 {
		l.Engines = append(l.Engines, &ferrydemo.Engine{TokensPerSecond: 100})
	}
	for _, tt := range []struct {
		at   time.Duration
		want float64
	}{{0, 200}, {time.Second, 100}, {2 * time.Second, 50}, {3 * time.Second, 200}} {
		assert.Equal(t, l.capacity(tt.at), tt.want, "%s", tt.at)
	}
}

func TestImbalanceIgnoresRemovedEntries(t *testing.T) {
	l := &liveFleet{Fleet: &ferrydemo.Fleet{}, workload: &ferryworkload.Workload{Faults: ferryworkload.Faults{
		{At: ferryworkload.Duration(2 * time.Second), Kind: ferryworkload.FaultKillEntry, First: 0, Count: 1},
	}}}
	l.Entries = []*ferrydemo.Entry{{CallerAddress: "a"}, {CallerAddress: "b"}, {CallerAddress: "c"}}
	r := &liveRun{Summary: &ferryload.Summary{Sent: map[string][]int{"a": {6, 6}, "b": {3, 3, 10}, "c": {3, 3, 30}}}, fleet: l}
	assert.Equal(t, r.imbalance(0, 2*time.Second), 1.5)
	assert.Equal(t, r.imbalance(2*time.Second, 3*time.Second), 1.5)
}
