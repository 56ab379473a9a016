package ferryconfig

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestTimesAndMemoryOfModel guards against a change of the formulas that path selection, placement and the
// upper bound share.
func TestTimesAndMemoryOfModel(t *testing.T) {
	m := &Model{
		Layers: 10, LayerSize: 100, TokenBytes: 10000, UsualPrompt: 1000, UsualAnswer: 200,
		StepTime: 10 * time.Millisecond, RequestTime: time.Millisecond, ContextTime: time.Millisecond, ReadRate: 10000, PairTime: 4 * time.Millisecond,
	}
	a := Accelerator{Memory: 1000, StepFactor: 2, ReadFactor: 3}
	assert.Equal(t, m.RequestMemory(a, 4), int64(600e6/1000))
	assert.Equal(t, m.RequestMemory(a, 10), int64(0))
	assert.Equal(t, m.TokenTime(a, 5, 0), 10*time.Millisecond)
	assert.Equal(t, m.TokenTime(a, 5, 10), 31*time.Millisecond)
	// 100 ms for the tokens and 2 ms for half a million pairs, times the factor, for half of the layers.
	assert.Equal(t, m.PrefillTime(a, 5), 153*time.Millisecond)
}
