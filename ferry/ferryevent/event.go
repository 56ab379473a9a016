package ferryevent

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"cactusferry.dev/ferry/ferryring"
)

// Timestamp is a hybrid logical timestamp: wall time in microseconds and a counter for equal times.
type Timestamp struct {
	Micros  int64  `json:"Micros" cbor:"1,keyasint"`
	Logical uint32 `json:"Logical" cbor:"2,keyasint"`
}

// Compare orders timestamps by wall time, then by counter.
func (t Timestamp) Compare(u Timestamp) int {
	return cmp.Or(cmp.Compare(t.Micros, u.Micros), cmp.Compare(t.Logical, u.Logical))
}

// Time returns the wall time of the timestamp in UTC.
func (t Timestamp) Time() time.Time {
	return time.UnixMicro(t.Micros).UTC()
}

// Event is an event of one process.
type Event struct {
	At      Timestamp `json:"At" cbor:"1,keyasint"`
	Process string    `json:"Process" cbor:"2,keyasint"`
	Kind    string    `json:"Kind" cbor:"3,keyasint"`
	Subject string    `json:"Subject,omitempty" cbor:"4,keyasint,omitempty"`
	Detail  string    `json:"Detail,omitempty" cbor:"5,keyasint,omitempty"`
}

func (e Event) String() string {
	return fmt.Sprintf("%s %-12s %-20s %s %s", e.At.Time().Format("15:04:05.000000"), e.Process, e.Kind, e.Subject, e.Detail)
}

// Events is a list of events.
type Events []Event

// Merge merges lists of events in causal order.
func Merge(lists ...Events) Events {
	var out Events
	for _, l := range lists {
		out = append(out, l...)
	}
	slices.SortStableFunc(out, func(a, b Event) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Process, b.Process))
	})
	return out
}

// Log is the event ring buffer of one process; when it is full, the oldest event is overwritten.
type Log struct {
	clock   clockwork.Clock
	process string
	mu      sync.Mutex
	last    Timestamp
	ring    *ferryring.DropOldest[Event]
}

// NewLog returns a log for the named process that keeps at most size events.
func NewLog(clock clockwork.Clock, process string, size int) *Log {
	return &Log{clock: clock, process: process, ring: ferryring.NewDropOldest[Event](size)}
}

// Add records an event with the current time.
func (l *Log) Add(kind, subject, format string, args ...any) {
	detail := format
	if len(args) > 0 {
		detail = fmt.Sprintf(format, args...)
	}
	l.ring.Add(Event{At: l.Now(), Process: l.process, Kind: kind, Subject: subject, Detail: detail})
}

// Now returns a timestamp later than any returned or witnessed before.
func (l *Log) Now() Timestamp {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.advance(Timestamp{})
}

// Witness advances the log's clock past a timestamp received in a message.
func (l *Log) Witness(t Timestamp) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(t)
}

func (l *Log) advance(seen Timestamp) Timestamp {
	now := Timestamp{Micros: l.clock.Now().UnixMicro()}
	for _, t := range []Timestamp{l.last, seen} {
		if t.Compare(now) >= 0 {
			now = Timestamp{Micros: t.Micros, Logical: t.Logical + 1}
		}
	}
	l.last = now
	return now
}

// Events returns the kept events, oldest first.
func (l *Log) Events() Events {
	return l.ring.Items()
}
