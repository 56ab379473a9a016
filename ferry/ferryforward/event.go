package ferryforward

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

var (
	eventEnd  = []byte("\n\n")
	idField   = []byte("id:")
	dataField = []byte("data")
)

// splitEvents splits a buffer after its last complete event; the first known bytes are without one.
func splitEvents(b []byte, known int) (whole, rest []byte) {
	from := max(0, known-len(eventEnd)+1)
	i := bytes.LastIndex(b[from:], eventEnd)
	if i < 0 {
		return nil, b
	}
	end := from + i + len(eventEnd)
	return b[:end], b[end:]
}

// nextEvent returns the first of a series of complete events and the remaining ones.
func nextEvent(b []byte) (event, rest []byte) {
	i := bytes.Index(b, eventEnd)
	if i < 0 {
		return b, nil
	}
	return b[:i+len(eventEnd)], b[i+len(eventEnd):]
}

// carryData reports whether one of the complete events has a field. Events with comments only keep a connection
// open and say nothing about the run.
func carryData(events []byte) bool {
	for line := range bytes.Lines(events) {
		if line[0] != '\n' && line[0] != ':' {
			return true
		}
	}
	return false
}

// EventError reports bytes of an upstream that are no event of its stream.
type EventError struct{ Detail string }

func (e *EventError) Error() string { return "no event: " + e.Detail }

// extensionPrefix begins the names of event fields that are not standard.
var extensionPrefix = []byte("x-")

// isField reports whether a line of an event is a comment, or a field that is standard or an extension.
func isField(line []byte) bool {
	name, _, _ := bytes.Cut(line, []byte(":"))
	switch string(name) {
	case "", "data", "event", "id", "retry":
		return true
	}
	return bytes.HasPrefix(name, extensionPrefix)
}

// readEvent returns the id of a complete event, or nil, and whether it has data.
func readEvent(event []byte) (id []byte, data bool, err error) {
	for line := range bytes.Lines(event) {
		line = bytes.TrimRight(line, "\r\n")
		if !isField(line) {
			return nil, false, &EventError{Detail: fmt.Sprintf("line %.80q", line)}
		}
		data = data || bytes.HasPrefix(line, dataField)
		value, isID := bytes.CutPrefix(line, idField)
		if isID && id != nil {
			return nil, false, &EventError{Detail: "two ids"}
		}
		if isID {
			id = bytes.TrimSpace(value)
		}
	}
	return id, data, nil
}

// position is the last event that was forwarded to the caller.
type position struct {
	id     string
	number int64
	known  bool
	// lost is set once an event without an id has passed, so that no run can go on after it.
	lost bool
}

func newPosition(id string) position {
	p := position{id: id}
	n, err := strconv.ParseInt(id, 10, 64)
	p.number, p.known = n, err == nil
	return p
}

// advance moves over the next event and reports whether the event is new; non-numeric ids always count as new. In a
// stream with ids, an event without one has no place.
func (p *position) advance(event []byte) (bool, error) {
	id, data, err := readEvent(event)
	switch {
	case err != nil:
		return false, err
	case id == nil && data && p.id != "":
		return false, &EventError{Detail: "no id after event " + p.id}
	case id == nil:
		p.lost = p.lost || data
		return true, nil
	}
	n, err := strconv.ParseInt(string(id), 10, 64)
	if errors.Is(err, strconv.ErrRange) {
		// It would count as an id that is no number, after which the ids could go back.
		return false, &EventError{Detail: fmt.Sprintf("id %.80q does not fit in 64 bits", id)}
	}
	if err == nil && p.known && n <= p.number {
		return false, nil
	}
	p.id, p.number, p.known = string(id), n, err == nil
	return true, nil
}
