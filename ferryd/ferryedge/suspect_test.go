package ferryedge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestTrialsStartWithOneEntry(t *testing.T) {
	for rank, want := range map[int]time.Duration{-1: 0, 0: 0, 1: trialStep, 2: trialStep, 3: 2 * trialStep, 6: 2 * trialStep, 349: 8 * trialStep} {
		assert.Equal(t, trialDelayOf(rank), want, "rank %d", rank)
	}
}
