package ferryrelay

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cactusferry.dev/ferry/ferryplatform"
)

const (
	maxNameBytes = 1 << 10
	maxAge       = time.Hour
	// maxWait bounds the wait that another entry may ask for.
	maxWait = 30 * time.Second
)

// operation is the read that one entry requests from another.
type operation uint8

const (
	opList operation = iota + 1
	opWatch
	opProve
	opInForce
)

// status is the status of an answer.
type status uint8

const (
	statusOK status = iota + 1
	// statusPlatformLost means that the reader has lost the platform.
	statusPlatformLost
	// statusHistoryGone means that the changes after the requested version are no longer kept.
	statusHistoryGone
	// statusNotRead means that the entry does not read the kind from the platform, or not
	// yet. It is not a failure.
	statusNotRead
)

func (v status) String() string {
	switch v {
	case statusOK:
		return "OK"
	case statusPlatformLost:
		return "Lost"
	case statusHistoryGone:
		return "Gone"
	case statusNotRead:
		return "NotRead"
	}
	return fmt.Sprintf("verdict %d", uint8(v))
}

// question is the request for objects to a reader.
type question struct {
	Op    operation             `cbor:"1,keyasint"`
	Kind  string                `cbor:"2,keyasint"`
	Name  string                `cbor:"3,keyasint,omitempty"`
	After ferryplatform.Version `cbor:"4,keyasint,omitempty"`
	Wait  time.Duration         `cbor:"5,keyasint,omitempty"`
}

// answer is the reader's reply.
type answer struct {
	Status  status                `cbor:"1,keyasint"`
	Version ferryplatform.Version `cbor:"2,keyasint,omitempty"`
	Objects []object              `cbor:"3,keyasint,omitempty"`
	// Age is the time from when the reader's objects were last certainly current to the arrival of the question. It is
	// negative if the reader has proved them current since.
	Age time.Duration `cbor:"4,keyasint,omitempty"`

	// provedAt is the same moment on the clock of the entry that asked.
	provedAt time.Time
}

// object is one object of the requested kind.
type object struct {
	Name    string                `cbor:"1,keyasint"`
	Version ferryplatform.Version `cbor:"2,keyasint"`
	Deleted bool                  `cbor:"3,keyasint,omitempty"`
	Value   []byte                `cbor:"4,keyasint,omitempty"`
}

func decodeQuestion(b []byte) (question, error) {
	var q question
	if err := cbor.Unmarshal(b, &q); err != nil {
		return q, fmt.Errorf("decode question: %w", err)
	}
	if q.Op < opList || q.Op > opInForce {
		return q, fmt.Errorf("decode question: operation %d", q.Op)
	}
	if q.Kind == "" || len(q.Kind) > maxNameBytes || len(q.Name) > maxNameBytes {
		return q, fmt.Errorf("decode question: kind of %d bytes, name of %d", len(q.Kind), len(q.Name))
	}
	q.Wait = min(max(q.Wait, 0), maxWait)
	return q, nil
}

func decodeAnswer(b []byte) (answer, error) {
	var a answer
	if err := cbor.Unmarshal(b, &a); err != nil {
		return a, fmt.Errorf("decode answer: %w", err)
	}
	if a.Status < statusOK || a.Status > statusNotRead {
		return a, fmt.Errorf("decode answer: invalid %s", a.Status)
	}
	if a.Age < -maxWait || a.Age > maxAge {
		return a, fmt.Errorf("decode answer: age %s is not between -30 s and 1 h", a.Age)
	}
	for _, o := range a.Objects {
		if o.Name == "" || len(o.Name) > maxNameBytes {
			return a, fmt.Errorf("decode answer: object name of %d bytes, expected 1 to 1024", len(o.Name))
		}
	}
	return a, nil
}

// answerOf returns the answer with changes that the given time before the question were certainly the latest.
func answerOf(c ferryplatform.Changes, age time.Duration) answer {
	a := answer{Status: statusOK, Version: c.Version, Age: min(max(age, -maxWait), maxAge)}
	for _, o := range c.Objects {
		a.Objects = append(a.Objects, object{Name: o.Name, Version: o.Version, Deleted: o.Deleted, Value: o.Value})
	}
	return a
}

func (a answer) changes(kind string) ferryplatform.Changes {
	c := ferryplatform.Changes{Version: a.Version}
	for _, o := range a.Objects {
		c.Objects = append(c.Objects, ferryplatform.Object{Kind: kind, Name: o.Name, Version: o.Version, Deleted: o.Deleted, Value: o.Value})
	}
	return c
}
