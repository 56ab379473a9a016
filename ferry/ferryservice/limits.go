package ferryservice

import (
	"time"

	"cactusferry.dev/ferry/ferrytoml"
)

// Defaults and bounds of Limits.
const (
	defaultBodyBytes      = 1 << 20
	maxBodyBytes          = 64 << 20
	defaultDeadline       = 60 * time.Second
	maxDeadline           = 24 * time.Hour
	defaultClaimRetention = 24 * time.Hour
	maxClaimRetention     = 7 * 24 * time.Hour
	defaultQueueLength    = 1000
	maxQueueLength        = 100000
	defaultRetryShare     = 0.1
)

// Duration is a time.Duration written in TOML and JSON as text such as "1m30s".
type Duration time.Duration

// MarshalText returns the duration as text such as "1m30s".
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText parses a duration such as "1m30s".
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = Duration(v)
	return err
}

// Limits holds the limits of calls to a service.
type Limits struct {
	BodyBytes int64    `toml:"BodyBytes" json:"BodyBytes"`
	Deadline  Duration `toml:"Deadline" json:"Deadline"`
	// ClaimRetention is how long a claimed key is kept; Retention returns the effective time.
	ClaimRetention Duration `toml:"ClaimRetention" json:"ClaimRetention"`
	// QueueLength is the number of waiting calls from which the queue is full.
	QueueLength int `toml:"QueueLength" json:"QueueLength"`
	// RetryShare limits retries to a share of first tries.
	RetryShare float64 `toml:"RetryShare" json:"RetryShare"`
}

func (l *Limits) setDefaults() {
	if l.BodyBytes == 0 {
		l.BodyBytes = defaultBodyBytes
	}
	if l.Deadline == 0 {
		l.Deadline = Duration(defaultDeadline)
	}
	if l.ClaimRetention == 0 {
		l.ClaimRetention = Duration(defaultClaimRetention)
	}
	if l.QueueLength == 0 {
		l.QueueLength = defaultQueueLength
	}
	if l.RetryShare == 0 {
		l.RetryShare = defaultRetryShare
	}
}

func (l Limits) check(c *ferrytoml.Check) {
	if l.BodyBytes < 0 || l.BodyBytes > maxBodyBytes {
		c.Fault("Limits.BodyBytes", "must be from 1 to %d, is %d", maxBodyBytes, l.BodyBytes)
	}
	if l.Deadline < 0 || time.Duration(l.Deadline) > maxDeadline {
		c.Fault("Limits.Deadline", "must be from 0s to %s", maxDeadline)
	}
	if l.ClaimRetention < 0 || time.Duration(l.ClaimRetention) > maxClaimRetention {
		c.Fault("Limits.ClaimRetention", "must be from 0s to %s", maxClaimRetention)
	}
	if l.QueueLength < 0 || l.QueueLength > maxQueueLength {
		c.Fault("Limits.QueueLength", "must be from 1 to %d, is %d", maxQueueLength, l.QueueLength)
	}
	if !(l.RetryShare >= 0 && l.RetryShare <= 1) {
		c.Fault("Limits.RetryShare", "must be from 0 to 1, is %v", l.RetryShare)
	}
}

// Retention returns how long a claimed key is kept: ClaimRetention, but at least twice the deadline, so that
// no call outlives its claim.
func (l Limits) Retention() time.Duration {
	return max(time.Duration(l.ClaimRetention), 2*time.Duration(l.Deadline))
}
