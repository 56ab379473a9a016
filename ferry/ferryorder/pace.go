package ferryorder

import "time"

// Pace bounds how fast the fleet reads weights from the store.
type Pace struct {
	// LayersPerSecond is the weight store's rate, 0 for no bound.
	LayersPerSecond float64
	// Burst is how many layers may be ordered at once, at least those of one engine.
	Burst float64
}

// bucket is a token bucket in layers.
type bucket struct {
	pace   Pace
	tokens float64
	at     time.Time
}

// take reports whether the layers may be loaded now, and takes them if so; more than a burst is taken when the bucket is full.
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
