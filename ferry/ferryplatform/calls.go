package ferryplatform

import "sync/atomic"

// Calls counts calls to the platform by operation; a watch counts once, however long it waits.
type Calls struct {
	Get       int64 `json:"Get"`
	Put       int64 `json:"Put"`
	Delete    int64 `json:"Delete"`
	List      int64 `json:"List"`
	Watch     int64 `json:"Watch"`
	Instances int64 `json:"Instances"`
}

// Total returns the number of calls of all operations.
func (c Calls) Total() int64 {
	return c.Get + c.Put + c.Delete + c.List + c.Watch + c.Instances
}

// counters holds the counts of Calls for concurrent use.
type counters [operationCount]atomic.Int64

func (c *counters) snapshot() Calls {
	return Calls{
		Get:       c[OpGet].Load(),
		Put:       c[OpPut].Load(),
		Delete:    c[OpDelete].Load(),
		List:      c[OpList].Load(),
		Watch:     c[OpWatch].Load(),
		Instances: c[OpInstances].Load(),
	}
}
