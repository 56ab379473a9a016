package ferrysuspect

import (
	"fmt"
	"time"

	"cactusferry.dev/ferry/ferryid"
)

// PartID is the hash of a part of a prompt.
type PartID uint64

func (p PartID) String() string { return fmt.Sprintf("%016x", uint64(p)) }

const (
	// maxParts is the number of parts of one report.
	maxParts     = 256
	maxNameBytes = 256
	// maxLoggedParts is the number of parts of one crash in the log.
	maxLoggedParts = 32
	maxSent        = time.Hour
)

// Report is one observation of an entry: the crash of an engine that had not written on the parts of a prompt yet, or
// an answer on them.
type Report struct {
	Service ferryid.ServiceName `cbor:"1,keyasint"`
	Parts   []PartID            `cbor:"2,keyasint"`
	// Crashed is the engine that crashed; it is empty for an answer.
	Crashed ferryid.UpstreamName `cbor:"3,keyasint,omitempty"`
	// Age is how long before the report the engine was lost, or the answer was seen; it is zero for an engine that was known
	// at once to have crashed, and for a new answer.
	Age time.Duration `cbor:"4,keyasint,omitempty"`
	// Sent is how long before the report the request was sent to the lost engine.
	Sent time.Duration `cbor:"5,keyasint,omitempty"`
}

// Check returns an error if a field is missing or too long.
func (r Report) Check() error {
	switch {
	case len(r.Parts) == 0 || len(r.Parts) > maxParts:
		return fmt.Errorf("report of %d prompt parts, 1 to %d allowed", len(r.Parts), maxParts)
	case r.Service == "" || len(r.Service) > maxNameBytes:
		return fmt.Errorf("report of a service with a name of %d bytes", len(r.Service))
	case len(r.Crashed) > maxNameBytes:
		return fmt.Errorf("report of an engine with a name of %d bytes", len(r.Crashed))
	case r.Age < 0 || r.Age > Retention:
		return fmt.Errorf("report of what was seen %s before, at most %s allowed", r.Age, Retention)
	case r.Sent < 0 || r.Sent > maxSent:
		return fmt.Errorf("report of a request that was sent %s before, at most %s allowed", r.Sent, maxSent)
	}
	return nil
}

// BlockedError is returned for a prompt that holds a blocked part.
type BlockedError struct {
	Part PartID
	// Crashes is the number of engines that crashed on the part.
	Crashes int
	// RetryAfter is in how long the part is tried again.
	RetryAfter time.Duration
}

func (e *BlockedError) Error() string {
	return fmt.Sprintf("prompt part %s is blocked for %s: %d engines crashed before they wrote on it", e.Part, e.RetryAfter, e.Crashes)
}
