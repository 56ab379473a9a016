package ferrydocument

import (
	"cmp"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/google/uuid"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryservice"
)

const (
	maxSourceBytes   = 768 << 10
	maxApplyIDBytes  = 64
	maxOperatorBytes = 128
	maxSupersedes    = 8
)

// ApplyRequest asks to make a text the next version of a service document.
type ApplyRequest struct {
	Service ferryid.ServiceName `json:"-"`
	// Source is the text of the new version, at most 768 KiB.
	Source string `json:"Source"`
	// BaseGeneration is the version that was edited, and 0 for a new service.
	BaseGeneration ferryid.Generation `json:"BaseGeneration"`
	// Operator says who applies.
	Operator string `json:"Operator"`
	// ApplyID identifies the change; repeating a request under the same id never applies it twice.
	ApplyID string `json:"ApplyID"`
	// Supersedes are the hashes of versions of other branches that the new version replaces on purpose.
	Supersedes []string `json:"Supersedes,omitempty"`
	// InForce is the version in force at this entry, which is put back if the store has gone back; nil if there is none.
	InForce *ferryservice.Accepted `json:"-"`
	// Base is the version that was edited, if this entry still has it; it makes the diff of a lost race three-way.
	Base *ferryservice.Accepted `json:"-"`
}

// NewApplyID returns a fresh random apply id.
func NewApplyID() string {
	return uuid.NewString()
}

// RequestError says what is wrong with an ApplyRequest, beside its text.
type RequestError struct {
	Field string
	Text  string
}

func (e *RequestError) Error() string {
	return fmt.Sprintf("apply request: %s: %s", e.Field, e.Text)
}

// DecodeApplyRequest reads the JSON body of a request to apply to the service, and checks all but its text.
func DecodeApplyRequest(service ferryid.ServiceName, b []byte) (ApplyRequest, error) {
	var req ApplyRequest
	d := json.NewDecoder(strings.NewReader(string(b)))
	d.DisallowUnknownFields()
	if err := d.Decode(&req); err != nil {
		return ApplyRequest{}, &RequestError{Field: "body", Text: err.Error()}
	}
	req.Service = service
	return req, req.check()
}

func (r ApplyRequest) check() error {
	if err := ferryid.CheckName(string(r.Service)); err != nil {
		return &RequestError{Field: "service", Text: err.Error()}
	}
	switch {
	case r.ApplyID == "" || len(r.ApplyID) > maxApplyIDBytes:
		return &RequestError{Field: "ApplyID", Text: fmt.Sprintf("must have 1 to %d bytes", maxApplyIDBytes)}
	case r.Operator == "" || len(r.Operator) > maxOperatorBytes:
		return &RequestError{Field: "Operator", Text: fmt.Sprintf("must have 1 to %d bytes", maxOperatorBytes)}
	case len(r.Source) > maxSourceBytes:
		return &RequestError{Field: "Source", Text: fmt.Sprintf("must have at most %d bytes, has %d", maxSourceBytes, len(r.Source))}
	case len(r.Supersedes) > maxSupersedes:
		return &RequestError{Field: "Supersedes", Text: fmt.Sprintf("must have at most %d hashes", maxSupersedes)}
	}
	return nil
}

// Command is the ferryctl command that settles the request if its outcome is not known, with the file that it came from.
func (r ApplyRequest) Command(file string) string {
	command := fmt.Sprintf("ferryctl apply %s --base %d --apply-id %s --operator %s", quote(file), r.BaseGeneration, quote(r.ApplyID), quote(r.Operator))
	for _, s := range r.Supersedes {
		command += " --supersedes " + quote(s)
	}
	return command
}

// quote quotes an argument for a POSIX shell.
func quote(s string) string {
	if !strings.ContainsFunc(s, func(r rune) bool { return !strings.ContainsRune(shellSafe, r) }) {
		return cmp.Or(s, "''")
	}
	return "'" + strings.ReplaceAll(s, "'", `'\''`) + "'"
}

const shellSafe = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789@%+=:,./-_"
