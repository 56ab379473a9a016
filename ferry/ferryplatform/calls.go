package ferryplatform

import "sync/atomic"

// Calls counts calls to the platform by kind; a waiting watch counts as one.
type Calls struct {
	Get       int64 `json:"Get"`
	Put       int64 `json:"Put"`
	Delete    int64 `json:"Delete"`
	List      int64 `json:"List"`
	Watch     int64 `json:"Watch"`
	Instances int64 `json:"Instances"`
}

// Total is the number of calls of all kinds.
func (c Calls) Total() int64 {
	return c.Get + c.Put + c.Delete + c.List + c.Watch + c.Instances
}

// callKind selects a counter.
type callKind int

const (
	callGet callKind = iota
	callPut
	callDelete
	callList
	callWatch
	callInstances
	callKinds
)

// counters are the counts behind Calls.
type counters [callKinds]atomic.Int64

func (c *counters) snapshot() Calls {
	return Calls{
		Get:       c[callGet].Load(),
		Put:       c[callPut].Load(),
		Delete:    c[callDelete].Load(),
		List:      c[callList].Load(),
		Watch:     c[callWatch].Load(),
		Instances: c[callInstances].Load(),
	}
}
