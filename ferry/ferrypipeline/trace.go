package ferrypipeline

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"cactusferry.dev/ferry/ferryengine"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
)

const (
	maxTraceLineBytes = 4 << 20
	maxTraceMessages  = 1 << 20
)

// TraceLine is one recorded message with the time since the start of the job.
type TraceLine struct {
	AtMicros int64                `json:"AtMicros"`
	Kind     string               `json:"Kind"`
	Plan     *Plan                `json:"Plan,omitempty"`
	Epoch    ferryid.Epoch        `json:"Epoch,omitempty"`
	Item     *ferryengine.Item    `json:"Item,omitempty"`
	Outcome  ferryoutcome.Outcome `json:"Outcome,omitempty"`
	Refused  ferryoutcome.Kind    `json:"Refused,omitempty"`
	Err      string               `json:"Err,omitempty"`
	// Silent is set for a Broke message caused by the idle timeout.
	Silent bool `json:"Silent,omitempty"`
	OK     bool `json:"OK,omitempty"`
	Known  bool `json:"Known,omitempty"`
	Ran    bool `json:"Ran,omitempty"`
}

// Trace is a recording of a job and every message that its core processed.
type Trace struct {
	Job   Job
	Lines []TraceLine
}

// Recorder records the messages of one job; use its Add as Runner.Trace.
type Recorder struct {
	mu      sync.Mutex
	started time.Time
	lines   []TraceLine
}

// Add records a message.
func (r *Recorder) Add(now time.Time, m Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.lines) == 0 {
		r.started = now
	}
	l := traceLine(m)
	l.AtMicros = now.Sub(r.started).Microseconds()
	r.lines = append(r.lines, l)
}

// Trace returns the recording, with the deadline relative to the start of the job.
func (r *Recorder) Trace(job Job) Trace {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !job.Deadline.IsZero() {
		job.Deadline = time.Unix(0, 0).UTC().Add(job.Deadline.Sub(r.started))
	}
	return Trace{Job: job, Lines: append([]TraceLine(nil), r.lines...)}
}

func traceLine(m Message) TraceLine {
	switch m := m.(type) {
	case Begin:
		return TraceLine{Kind: "Begin"}
	case Planned:
		return TraceLine{Kind: "Planned", Plan: &m.Plan}
	case NoPlan:
		return TraceLine{Kind: "NoPlan", Err: m.Err.Error()}
	case ItemArrived:
		return TraceLine{Kind: "ItemArrived", Epoch: m.Epoch, Item: &m.Item}
	case Broke:
		var silent *ferryengine.IdleTimeoutError
		return TraceLine{
			Kind: "Broke", Epoch: m.Epoch, Outcome: m.Outcome, Refused: m.Refused,
			Err: m.Err.Error(), Silent: errors.As(m.Err, &silent),
		}
	case KVMoved:
		return TraceLine{Kind: "KVMoved", Epoch: m.Epoch, OK: m.OK}
	case CancelAnswered:
		return TraceLine{Kind: "CancelAnswered", Epoch: m.Epoch, Known: m.Known, Ran: m.Ran}
	case Woke:
		return TraceLine{Kind: "Woke"}
	case DeadlinePassed:
		return TraceLine{Kind: "DeadlinePassed"}
	case CallerGone:
		return TraceLine{Kind: "CallerGone", Err: m.Err.Error()}
	}
	return TraceLine{Kind: fmt.Sprintf("%T", m)}
}

// Message returns the recorded message.
func (l *TraceLine) Message() (Message, error) {
	switch l.Kind {
	case "Begin":
		return Begin{}, nil
	case "Planned":
		if l.Plan == nil {
			return nil, fmt.Errorf("message Planned has no plan")
		}
		return Planned{Plan: *l.Plan}, nil
	case "NoPlan":
		return NoPlan{Err: errors.New(l.Err)}, nil
	case "ItemArrived":
		if l.Item == nil {
			return nil, fmt.Errorf("message ItemArrived has no item")
		}
		return ItemArrived{Epoch: l.Epoch, Item: *l.Item}, l.Item.Check()
	case "Broke":
		err := errors.New(l.Err)
		if l.Silent {
			err = &ferryengine.IdleTimeoutError{}
		}
		return Broke{Epoch: l.Epoch, Outcome: l.Outcome, Refused: l.Refused, Err: err}, l.Outcome.Check()
	case "KVMoved":
		return KVMoved{Epoch: l.Epoch, OK: l.OK}, nil
	case "CancelAnswered":
		return CancelAnswered{Epoch: l.Epoch, Known: l.Known, Ran: l.Ran}, nil
	case "Woke":
		return Woke{}, nil
	case "DeadlinePassed":
		return DeadlinePassed{}, nil
	case "CallerGone":
		return CallerGone{Err: errors.New(l.Err)}, nil
	}
	return nil, fmt.Errorf("unknown message kind %q", l.Kind)
}

// Encode writes the trace as lines of JSON, the job first.
func (t *Trace) Encode(w io.Writer) error {
	enc := json.NewEncoder(w)
	if err := enc.Encode(&t.Job); err != nil {
		return err
	}
	for i := range t.Lines {
		if err := enc.Encode(&t.Lines[i]); err != nil {
			return err
		}
	}
	return nil
}

// DecodeTrace reads a trace and checks each of its messages.
func DecodeTrace(r io.Reader) (Trace, error) {
	var t Trace
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxTraceLineBytes)
	for n := 1; s.Scan(); n++ {
		if n == 1 {
			if err := json.Unmarshal(s.Bytes(), &t.Job); err != nil {
				return Trace{}, fmt.Errorf("trace line 1: %w", err)
			}
			continue
		}
		var l TraceLine
		err := json.Unmarshal(s.Bytes(), &l)
		if err == nil {
			_, err = l.Message()
		}
		if err != nil {
			return Trace{}, fmt.Errorf("trace line %d: %w", n, err)
		}
		if n > maxTraceMessages {
			return Trace{}, fmt.Errorf("trace has more than %d messages", maxTraceMessages)
		}
		t.Lines = append(t.Lines, l)
	}
	return t, s.Err()
}

// Replay runs a core on the messages of the trace and returns its actions, one per line.
func (t *Trace) Replay(cfg CoreConfig) (string, error) {
	var b strings.Builder
	job := t.Job
	core := NewCore(&job, cfg)
	for i := range t.Lines {
		m, err := t.Lines[i].Message()
		if err != nil {
			return "", err
		}
		now := time.Unix(0, 0).Add(time.Duration(t.Lines[i].AtMicros) * time.Microsecond)
		for _, a := range core.Step(m, now, nil) {
			fmt.Fprintf(&b, "%6d %s\n", i, describe(a))
		}
	}
	return b.String(), nil
}

func describe(a Action) string {
	switch a := a.(type) {
	case AskPlan:
		return fmt.Sprintf("AskPlan without %v, retry %t", a.Exclude, a.Retry)
	case MoveKV:
		return fmt.Sprintf("MoveKV for epoch %d", a.Epoch)
	case Start:
		r := &a.Request
		return fmt.Sprintf("Start epoch %d after %d tokens on %s, import %t", r.Epoch, len(r.Generated), addresses(r.Stages), r.Import)
	case Emit:
		return fmt.Sprintf("Emit token %d of epoch %d %q", a.Token.Position, a.Token.Epoch, a.Token.Text)
	case CancelEpoch:
		return fmt.Sprintf("CancelEpoch %d", a.Epoch)
	case Release:
		return fmt.Sprintf("Release after %d tokens", a.Tokens)
	case Wait:
		return fmt.Sprintf("Wait %s", a.Delay)
	case Finish:
		return fmt.Sprintf("Finish %+v, %v", a.Result, a.Err)
	}
	return fmt.Sprintf("%T", a)
}

func addresses(stages ferryengine.Stages) string {
	var out []string
	for _, s := range stages {
		out = append(out, fmt.Sprintf("%s%s", s.Address, s.Layers))
	}
	return strings.Join(out, " ")
}
