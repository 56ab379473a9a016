package ferryclock

import (
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// Steady tells the time of day as it was at its start, moved on by the time since boot; its timers are those of the embedded clock.
type Steady struct {
	clockwork.Clock
	origin time.Time
	booted time.Duration
	// sinceBoot reads the time since boot, suspensions included.
	sinceBoot func() (time.Duration, error)
}

// New returns a steady clock, or an error where the system has no time since boot.
func New() (*Steady, error) {
	s := &Steady{Clock: clockwork.NewRealClock(), sinceBoot: sinceBoot}
	booted, err := s.sinceBoot()
	s.origin, s.booted = time.Now().Round(0), booted
	return s, err
}

func sinceBoot() (time.Duration, error) {
	var ts unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts)
	return time.Duration(ts.Nano()), err
}

// Now returns the steady time; it has no reading of the monotonic clock, which stands still during a suspension.
func (s *Steady) Now() time.Time {
	d, err := s.sinceBoot()
	if err != nil {
		// New has read the same clock without an error, so this cannot happen while the process lives.
		panic(err)
	}
	return s.origin.Add(d - s.booted)
}

// Since returns the time passed since t.
func (s *Steady) Since(t time.Time) time.Duration { return s.Now().Sub(t) }

// Until returns the time left until t.
func (s *Steady) Until(t time.Time) time.Duration { return t.Sub(s.Now()) }
