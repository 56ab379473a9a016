package ferrybalance

// newestWeight is the weight of the newest observation.
const newestWeight = 0.25

// ewma is an exponentially weighted moving average; its zero value has no observations.
type ewma struct {
	value       float64
	initialized bool
}

func (e *ewma) add(v float64) {
	if !e.initialized {
		e.value, e.initialized = v, true
		return
	}
	e.value += newestWeight * (v - e.value)
}

// valueOr returns the average, or v if there are no observations.
func (e *ewma) valueOr(v float64) float64 {
	if !e.initialized {
		return v
	}
	return e.value
}
