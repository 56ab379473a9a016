package ferryevent

import (
	"encoding/json"
	"io"
	"slices"
)

// traceEvent is an event in the Trace Event Format, which is read by browsers' trace viewers.
type traceEvent struct {
	Name  string    `json:"name"`
	Cat   string    `json:"cat,omitempty"`
	Phase string    `json:"ph"`
	Scope string    `json:"s,omitempty"`
	TS    int64     `json:"ts"`
	PID   int       `json:"pid"`
	TID   int       `json:"tid"`
	Args  traceArgs `json:"args"`
}

type traceArgs struct {
	Name    string `json:"name,omitempty"`
	Subject string `json:"subject,omitempty"`
	Detail  string `json:"detail,omitempty"`
	Logical uint32 `json:"logical,omitempty"`
}

type trace struct {
	TraceEvents     []traceEvent `json:"traceEvents"`
	DisplayTimeUnit string       `json:"displayTimeUnit"`
}

const (
	phaseMetadata = "M"
	phaseInstant  = "i"
	scopeProcess  = "p"
)

// WriteTrace writes the events in the Trace Event Format, with one row per process.
// Times are in microseconds since the first event.
func (es Events) WriteTrace(w io.Writer) error {
	out := trace{TraceEvents: []traceEvent{}, DisplayTimeUnit: "ms"}
	var processes []string
	for _, e := range es {
		if !slices.Contains(processes, e.Process) {
			processes = append(processes, e.Process)
		}
	}
	slices.Sort(processes)
	for i, p := range processes {
		out.TraceEvents = append(out.TraceEvents, traceEvent{Name: "process_name", Phase: phaseMetadata, PID: i + 1, Args: traceArgs{Name: p}})
	}
	start := es.firstMicros()
	for _, e := range es {
		out.TraceEvents = append(out.TraceEvents, traceEvent{
			Name:  e.Kind,
			Cat:   e.Subject,
			Phase: phaseInstant,
			Scope: scopeProcess,
			TS:    e.At.Micros - start,
			PID:   slices.Index(processes, e.Process) + 1,
			Args:  traceArgs{Subject: e.Subject, Detail: e.Detail, Logical: e.At.Logical},
		})
	}
	enc := json.NewEncoder(w)
	enc.SetIndent("", " ")
	return enc.Encode(out)
}

func (es Events) firstMicros() int64 {
	if len(es) == 0 {
		return 0
	}
	first := es[0].At.Micros
	for _, e := range es {
		first = min(first, e.At.Micros)
	}
	return first
}
