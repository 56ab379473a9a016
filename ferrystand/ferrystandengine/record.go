package ferrystandengine

import (
	"net/http"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypipeline"
)

const maxSteps = 1 << 16

// Record is the application of one layer to one position of a stream.
type Record = ferrypipeline.Applied

// Step is the application of the engine's layers to N
// positions of a stream; the last position yields a token.
type Step struct {
	Stream  ferryid.StreamID   `json:"Stream"`
	Epoch   ferryid.Epoch      `json:"Epoch"`
	From    ferryid.Position   `json:"From"`
	N       int                `json:"N"`
	Layers  ferryid.LayerRange `json:"Layers"`
	AtNanos int64              `json:"AtNanos"`
}

// Append appends a record for each layer and position of the step.
func (s Step) Append(out []Record) []Record {
	for p := range s.N {
		for layer := s.Layers.From; layer < s.Layers.To; layer++ {
			out = append(out, Record{
				Stream: s.Stream, Epoch: s.Epoch, Position: s.From + ferryid.Position(p),
				Layer: layer, Prefill: p < s.N-1, AtNanos: s.AtNanos,
			})
		}
	}
	return out
}

// recordLog is a ring buffer of the last maxSteps steps.
type recordLog struct {
	steps []Step
	head  int
}

func (l *recordLog) add(s Step) {
	if len(l.steps) < maxSteps {
		l.steps = append(l.steps, s)
		return
	}
	l.steps[l.head] = s
	l.head = (l.head + 1) % maxSteps
}

func (l *recordLog) forStream(stream ferryid.StreamID) []Record {
	var out []Record
	for i := range l.steps {
		s := l.steps[(l.head+i)%len(l.steps)]
		if stream != "" && s.Stream != stream {
			continue
		}
		out = s.Append(out)
	}
	return out
}

// Records returns the layers that the engine applied to a stream, in order. An empty ID selects all streams.
func (e *Engine) Records(stream ferryid.StreamID) []Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.records.forStream(stream)
}

func (e *Engine) handleRecords(w http.ResponseWriter, r *http.Request) {
	records := e.Records(ferryid.StreamID(r.URL.Query().Get("stream")))
	if records == nil {
		records = []Record{}
	}
	writeJSON(w, records)
}
