package ferryplatformtest

import "time"

// Faults are the switches of the fake; the zero value is a sound platform.
type Faults struct {
	// Outage makes each call fail with an UnavailableError and ends waiting watches.
	Outage bool `json:"Outage"`
	// DelayMS is the time in milliseconds that each call waits before it takes effect.
	DelayMS int `json:"DelayMS"`
	// LoseAnswers is the number of writes to come whose answer is lost though they take effect.
	LoseAnswers int `json:"LoseAnswers"`
	// LateEffectMS is the time in milliseconds after which a write with a lost answer takes effect.
	LateEffectMS int `json:"LateEffectMS"`
	// WatchLagMS is the age in milliseconds that a change must have before a watch shows it.
	WatchLagMS int `json:"WatchLagMS"`
	// ListLagMS is the age in milliseconds that a change must have before the instance list shows it.
	ListLagMS int `json:"ListLagMS"`
	// OldWatches is the number of watches to come that show the objects of the last Snapshot as changes after the version asked for.
	OldWatches int `json:"OldWatches"`
	// OldReads makes lists and watches show the last Snapshot, versions included, while writes and gets see the present.
	OldReads bool `json:"OldReads"`
}

func millis(n int) time.Duration {
	return time.Duration(n) * time.Millisecond
}
