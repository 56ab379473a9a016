package ferryorder

import "time"

// Pace limits the rate at which the fleet loads weights from the store.
type Pace struct {
	// LayersPerSecond is the rate limit; 0 means unlimited.
	LayersPerSecond float64
	// Burst is the number of layers that may be ordered at once, at least those of one engine.
	Burst float64
}

// bucket is a token bucket in layers.
type bucket struct {
	pace   Pace
	tokens float64
	at     time.Time
}

// take consumes the tokens for the layers and reports whether they may be loaded now.
// A request larger than the burst is granted when the bucket is full.
func (b *bucket) take(layers int, now time.Time) bool {
	if b.pace.LayersPerSecond <= 0 {
		return true
	}
	if b.at.IsZero() {
		b.tokens = b.pace.Burst
	} else {
		b.tokens = min(b.pace.Burst, b.tokens+now.Sub(b.at).Seconds()*b.pace.LayersPerSecond)
	}
	b.at = now
	if b.tokens < min(float64(layers), b.pace.Burst) {
		return false
	}
	b.tokens -= float64(layers)
	return true
}
