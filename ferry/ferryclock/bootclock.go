package ferryclock

import (
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// BootClock returns the wall-clock time of its creation plus the time passed since then on CLOCK_BOOTTIME.
// Its timers are those of the embedded clock.
type BootClock struct {
	clockwork.Clock
	origin     time.Time
	bootOffset time.Duration
	// sinceBoot returns the time since boot, including suspensions.
	sinceBoot func() (time.Duration, error)
}

// New returns a BootClock, or an error if the system does not support CLOCK_BOOTTIME.
func New() (*BootClock, error) {
	c := &BootClock{Clock: clockwork.NewRealClock(), sinceBoot: sinceBoot}
	booted, err := c.sinceBoot()
	c.origin, c.bootOffset = time.Now().Round(0), booted
	return c, err
}

func sinceBoot() (time.Duration, error) {
	var ts unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts)
	return time.Duration(ts.Nano()), err
}

// Now returns the current time without a monotonic clock reading, since that clock stops during a suspension.
func (c *BootClock) Now() time.Time {
	d, err := c.sinceBoot()
	if err != nil {
		// New read the same clock without an error, so it can't fail here.
		panic(err)
	}
	return c.origin.Add(d - c.bootOffset)
}

// Since returns the time passed since t.
func (c *BootClock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until returns the time left until t.
func (c *BootClock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }
