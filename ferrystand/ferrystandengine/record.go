package ferrystandengine

import (
	"net/http"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypipeline"
)

const maxSteps = 1 << 16

// Record says that the engine applied one layer to one position of a stream.
type Record = ferrypipeline.Applied

// Step says that the engine applied its layers to N positions of a stream, of which the last yields a token.
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

// recordLog keeps the last steps; the oldest give way.
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

func (l *recordLog) of(stream ferryid.StreamID) []Record {
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

// Records returns what the engine applied to a stream, in order; an empty name means all streams.
func (e *Engine) Records(stream ferryid.StreamID) []Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.records.of(stream)
}

func (e *Engine) handleRecords(w http.ResponseWriter, r *http.Request) {
	records := e.Records(ferryid.StreamID(r.URL.Query().Get("stream")))
	if records == nil {
		records = []Record{}
	}
	writeJSON(w, records)
}
