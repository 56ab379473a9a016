package ferryedge

import (
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferrybudget"
	"cactusferry.dev/ferry/ferrydiscovery"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryplatform"
)

func retryUsage(repeats int) map[ferryid.ServiceName]ferrybudget.Usage {
	return map[ferryid.ServiceName]ferrybudget.Usage{"s": {Requests: 10, Repeats: repeats}}
}

// TestStatePublication checks which changes are published at once: those without which other entries would act
// wrongly, and no others.
func TestStatePublication(t *testing.T) {
	for _, tt := range []struct {
		name         string
		older, newer entryState
		differs      bool
		quiet        bool
	}{
		{"no change", entryState{}, entryState{}, false, true},
		{"more retries", entryState{RetryUsage: retryUsage(1)}, entryState{RetryUsage: retryUsage(2)}, true, false},
		{"fewer retries", entryState{RetryUsage: retryUsage(2)}, entryState{RetryUsage: retryUsage(1)}, false, false},
		{"configuration no longer proved current", entryState{}, entryState{ConfigStale: true}, true, false},
		{"configuration proved current again", entryState{ConfigStale: true}, entryState{}, true, true},
		{"acquired the placement lease", entryState{}, entryState{Orders: true}, true, false},
		{"configuration ahead of the platform's", entryState{}, entryState{ConfigAhead: 7}, true, false},
		{"lost the platform", entryState{}, entryState{PlatformLost: true}, true, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, tt.older.differs(tt.newer), tt.differs)
			assert.Equal(t, tt.newer.quiet(), tt.quiet)
			b, err := cbor.Marshal(tt.newer)
			assert.NilError(t, err)
			var back entryState
			assert.NilError(t, cbor.Unmarshal(b, &back))
			assert.Assert(t, !tt.newer.differs(back) && !back.differs(tt.newer))
		})
	}
}

func TestInvalidStatesAreRejected(t *testing.T) {
	many := map[ferryid.ServiceName]ferrybudget.Usage{}
	for i := range maxServices + 1 {
		many[ferryid.ServiceName(rune('a'+i))] = ferrybudget.Usage{}
	}
	assert.NilError(t, entryState{RetryUsage: retryUsage(3)}.Check())
	assert.ErrorContains(t, entryState{RetryUsage: retryUsage(-1)}.Check(), `negative retry usage: -1 retries of 10 requests to service "s"`)
	assert.ErrorContains(t, entryState{RetryUsage: many}.Check(), "retry usage lists 65 services")
	assert.NilError(t, conditions{List: []engineCondition{{Pace: 64, Used: 10, Room: 20}}}.Check())
	assert.ErrorContains(t, conditions{List: []engineCondition{{Pace: maxPace + 1}}}.Check(), "condition of engine")
	assert.ErrorContains(t, conditions{List: make([]engineCondition, maxEnginesPerItem+1)}.Check(), "conditions of 41 engines")
}

func TestUnits(t *testing.T) {
	for _, tt := range []struct {
		v, unit float64
		want    uint64
	}{
		{0, 1, 0}, {-3, 1, 0}, {1.5, paceUnit, 96}, {640, roomUnit, 10}, {math.NaN(), 1, 0}, {math.Inf(1), 1, 100}, {500, 1, 100},
	} {
		assert.Equal(t, toUnits(tt.v, tt.unit, 100), tt.want, "%v", tt)
	}
	cond := engineCondition{Pace: 96, Running: 3, Used: 10, Room: 20}.chooserCondition()
	assert.Equal(t, cond.Pace, 1.5)
	assert.Equal(t, cond.Used, int64(640))
	assert.Equal(t, cond.Room, int64(1280))
}

// TestSilentEngines checks that silent engines are dropped if most are silent, since
// the reader may be cut off.
func TestSilentEngines(t *testing.T) {
	list := func(silent, answering int) []engineCondition {
		var out []engineCondition
		for range silent {
			out = append(out, engineCondition{Silent: true})
		}
		return append(out, make([]engineCondition, answering)...)
	}
	assert.Equal(t, len(filterSilent(list(1, 5))), 6)
	assert.Equal(t, len(filterSilent(list(3, 3))), 6)
	assert.Equal(t, len(filterSilent(list(4, 2))), 2)
}

func TestHashesIncarnationsAndIntervals(t *testing.T) {
	a := &ferrydiscovery.Upstream{Instance: ferryplatform.Instance{Name: "i-1", Service: "s"}}
	b := &ferrydiscovery.Upstream{Instance: ferryplatform.Instance{Name: "i-1", Service: "other"}}
	assert.Assert(t, hashOf(a) != hashOf(b))
	id := newIncarnation("entry-1")
	assert.Equal(t, entryOf(id), ferryid.EntryName("entry-1"))
	assert.Assert(t, id != newIncarnation("entry-1"))
	assert.Equal(t, pauseFor(0), watchPause)
	assert.Equal(t, pauseFor(400*time.Millisecond), 100*time.Millisecond)
	assert.Equal(t, pauseFor(time.Minute), watchPause)
	assert.Equal(t, fleetFactorOf(3), 1)
	assert.Equal(t, fleetFactorOf(84), 5)
}
