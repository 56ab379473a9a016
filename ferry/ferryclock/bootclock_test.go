package ferryclock

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestBootClockIncludesSuspension(t *testing.T) {
	booted := time.Hour
	s, err := New()
	assert.NilError(t, err)
	s.origin, s.bootOffset = time.Unix(100, 0), booted
	s.sinceBoot = func() (time.Duration, error) { return booted, nil }
	start := s.Now()
	assert.Assert(t, start.Equal(time.Unix(100, 0)))
	booted += 7 * time.Second // suspension: timers and the monotonic clock stop
	assert.Equal(t, s.Since(start), 7*time.Second)
	assert.Equal(t, s.Until(start.Add(10*time.Second)), 3*time.Second)
}
