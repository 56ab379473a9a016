package ferryplatformtest

import "time"

// Faults are the faults injected by a Fake; the zero value injects none.
type Faults struct {
	// Outage makes each call fail with an UnavailableError and ends waiting watches.
	Outage bool `json:"Outage"`
	// DelayMS is the time in milliseconds that each call waits before it takes effect.
	DelayMS int `json:"DelayMS"`
	// LoseAnswers is the number of next writes whose answer is lost although they take effect.
	LoseAnswers int `json:"LoseAnswers"`
	// LateEffectMS is the time in milliseconds after which a write with a lost answer takes effect.
	LateEffectMS int `json:"LateEffectMS"`
	// WatchLagMS is the age in milliseconds from which a watch returns a change.
	WatchLagMS int `json:"WatchLagMS"`
	// ListLagMS is the age in milliseconds from which the instance list includes a change.
	ListLagMS int `json:"ListLagMS"`
	// OldWatches is the number of next watches that return the objects of the last Snapshot as changes, at the
	// version that the watch was started after.
	OldWatches int `json:"OldWatches"`
	// OldReads makes lists and watches return the last Snapshot, versions included, while writes and gets use
	// the current state.
	OldReads bool `json:"OldReads"`
}

func millis(n int) time.Duration {
	return time.Duration(n) * time.Millisecond
}
