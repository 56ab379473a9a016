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
)

// operation is what one entry asks another to read.
type operation uint8

const (
	opList operation = iota + 1
	opWatch
	opProve
)

// verdict is how the other entry judges a question.
type verdict uint8

const (
	verdictOK verdict = iota + 1
	// verdictLost says that the reader has lost the platform.
	verdictLost
	// verdictGone says that the changes after the version are not kept.
	verdictGone
	// verdictNotRead says that the entry does not read the platform, or not yet; nothing is known to be wrong with it.
	verdictNotRead
)

func (v verdict) String() string {
	switch v {
	case verdictOK:
		return "OK"
	case verdictLost:
		return "Lost"
	case verdictGone:
		return "Gone"
	case verdictNotRead:
		return "NotRead"
	}
	return fmt.Sprintf("verdict %d", uint8(v))
}

// question asks a reader for objects.
type question struct {
	Op    operation             `cbor:"1,keyasint"`
	Kind  string                `cbor:"2,keyasint"`
	Name  string                `cbor:"3,keyasint,omitempty"`
	After ferryplatform.Version `cbor:"4,keyasint,omitempty"`
	Wait  time.Duration         `cbor:"5,keyasint,omitempty"`
}

// answer holds what a reader knows.
type answer struct {
	Verdict verdict               `cbor:"1,keyasint"`
	Version ferryplatform.Version `cbor:"2,keyasint,omitempty"`
	Objects []object              `cbor:"3,keyasint,omitempty"`
	// Age is how long before the answer the reader's own reading began.
	Age time.Duration `cbor:"4,keyasint,omitempty"`
}

// object is one object of the question's kind.
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
	if q.Op < opList || q.Op > opProve {
		return q, fmt.Errorf("decode question: operation %d", q.Op)
	}
	if q.Kind == "" || len(q.Kind) > maxNameBytes || len(q.Name) > maxNameBytes {
		return q, fmt.Errorf("decode question: kind of %d bytes, name of %d", len(q.Kind), len(q.Name))
	}
	q.Wait = min(max(q.Wait, 0), relayWait)
	return q, nil
}

func decodeAnswer(b []byte) (answer, error) {
	var a answer
	if err := cbor.Unmarshal(b, &a); err != nil {
		return a, fmt.Errorf("decode answer: %w", err)
	}
	if a.Verdict < verdictOK || a.Verdict > verdictNotRead {
		return a, fmt.Errorf("decode answer: %s", a.Verdict)
	}
	if a.Age < 0 || a.Age > maxAge {
		return a, fmt.Errorf("decode answer: age %s", a.Age)
	}
	for _, o := range a.Objects {
		if o.Name == "" || len(o.Name) > maxNameBytes {
			return a, fmt.Errorf("decode answer: object with a name of %d bytes", len(o.Name))
		}
	}
	return a, nil
}

func answerOf(c ferryplatform.Changes) answer {
	a := answer{Verdict: verdictOK, Version: c.Version}
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
