package ferrybalance

// newest is the weight of the newest observation in a running mean.
const newest = 0.25

// ewma is an exponentially weighted mean; its zero value has seen nothing.
type ewma struct {
	value float64
	seen  bool
}

func (e *ewma) add(v float64) {
	if !e.seen {
		e.value, e.seen = v, true
		return
	}
	e.value += newest * (v - e.value)
}

// or returns the mean, or the given value while nothing has been seen.
func (e *ewma) or(v float64) float64 {
	if !e.seen {
		return v
	}
	return e.value
}
