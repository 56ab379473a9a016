package ferryevent

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
)

func TestTimestampsAreMonotonic(t *testing.T) {
	clock := clockwork.NewFakeClockAt(time.Unix(100, 0))
	l := NewLog(clock, "a", 4)
	first := l.Now()
	second := l.Now()
	assert.Assert(t, second.Compare(first) > 0)
	l.Witness(Timestamp{Micros: time.Unix(200, 0).UnixMicro(), Logical: 3})
	third := l.Now()
	assert.Assert(t, third.Compare(Timestamp{Micros: time.Unix(200, 0).UnixMicro(), Logical: 3}) > 0)
}

func TestOldestEventsAreOverwritten(t *testing.T) {
	l := NewLog(clockwork.NewFakeClock(), "a", 2)
	for _, k := range []string{"1", "2", "3"} {
		l.Add(k, "", "")
	}
	got := l.Events()
	assert.Equal(t, len(got), 2)
	assert.Equal(t, got[0].Kind, "2")
}

func TestMergeIsInCausalOrder(t *testing.T) {
	slow := NewLog(clockwork.NewFakeClockAt(time.Unix(10, 0)), "slow", 4)
	fast := NewLog(clockwork.NewFakeClockAt(time.Unix(20, 0)), "fast", 4)
	fast.Add("Sent", "", "")
	slow.Witness(fast.Events()[0].At)
	slow.Add("Received", "", "")
	merged := Merge(slow.Events(), fast.Events())
	assert.Equal(t, merged[0].Kind, "Sent")
	assert.Equal(t, merged[1].Kind, "Received")
}
