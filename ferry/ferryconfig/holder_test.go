package ferryconfig

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func snapshot(t rapid.TB, v Version) *Snapshot {
	s, err := NewSnapshot(sample(v))
	assert.NilError(t, err)
	return s
}

func TestHolderVersionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &Holder{}
		var seen []Version
		h.OnChange(func(s *Snapshot) { seen = append(seen, s.Version) })
		highest := Version(0)
		for range rapid.IntRange(1, 30).Draw(t, "offers") {
			v := Version(rapid.IntRange(1, 12).Draw(t, "version"))
			got := h.Offer(snapshot(t, v))
			switch {
			case v > highest:
				assert.Equal(t, got, Taken)
			case v == highest:
				assert.Equal(t, got, Known)
			default:
				assert.Equal(t, got, Older)
			}
			highest = max(highest, v)
			assert.Equal(t, h.Current().Version, highest)
		}
		for i := 1; i < len(seen); i++ {
			assert.Assert(t, seen[i] > seen[i-1])
		}
	})
}

func TestAgeCountsFromTheStartOfTheRead(t *testing.T) {
	start := time.Unix(1000, 0)
	h := &Holder{}
	_, proved := h.Age(start)
	assert.Assert(t, !proved, "Age before the first Prove")
	h.Prove(1, start)
	_, proved = h.Age(start)
	assert.Assert(t, !proved, "Age after Prove of a version that is not in force")

	h.Offer(snapshot(t, 4))
	h.Prove(4, start.Add(2*time.Second))
	h.Prove(4, start.Add(time.Second)) // an earlier read that finished later
	age, proved := h.Age(start.Add(5 * time.Second))
	assert.Assert(t, proved)
	assert.Equal(t, age, 3*time.Second)

	h.Prove(5, start.Add(4*time.Second)) // the latest version is not in force here
	age, _ = h.Age(start.Add(5 * time.Second))
	assert.Equal(t, age, 3*time.Second)

	h.Distrust()
	_, proved = h.Age(start.Add(5 * time.Second))
	assert.Assert(t, !proved, "Age after Distrust")
	h.Prove(4, start.Add(time.Second)) // any later proof counts
	age, _ = h.Age(start.Add(5 * time.Second))
	assert.Equal(t, age, 4*time.Second)
}
