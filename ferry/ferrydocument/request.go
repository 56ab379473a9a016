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

// ApplyRequest is a request to make a text the next version of a service document.
type ApplyRequest struct {
	Service ferryid.ServiceName `json:"-"`
	// Source is the text of the new version, at most 768 KiB.
	Source string `json:"Source"`
	// BaseGeneration is the generation that was edited, 0 for a new service.
	BaseGeneration ferryid.Generation `json:"BaseGeneration"`
	// Operator is the name of the operator.
	Operator string `json:"Operator"`
	// ApplyID identifies the change; a request repeated with the same id is applied at most once.
	ApplyID string `json:"ApplyID"`
	// Supersedes lists hashes of versions on other branches that the new version replaces.
	Supersedes []string `json:"Supersedes,omitempty"`
	// InForce is the version in force at this entry, nil if there is none; it is written back to a store that
	// lost it.
	InForce *ferryservice.Accepted `json:"-"`
	// Base is the version that was edited, if this entry still has it, for the three-way diff of a lost race.
	Base *ferryservice.Accepted `json:"-"`
}

// NewApplyID returns a random apply id.
func NewApplyID() string {
	return uuid.NewString()
}

// RequestError reports an invalid field of an ApplyRequest; faults of its text are a *ferrytoml.FaultsError.
type RequestError struct {
	Field string
	Text  string
}

func (e *RequestError) Error() string {
	return fmt.Sprintf("apply request: %s: %s", e.Field, e.Text)
}

// DecodeApplyRequest decodes the JSON body of an apply request for the service and checks all fields but the
// text.
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

// Command returns the ferryctl command that repeats the request from a file, to resolve an unknown outcome.
func (r ApplyRequest) Command(file string) string {
	command := fmt.Sprintf("ferryctl apply %s --base %d --apply-id %s --operator %s", shellQuote(file), r.BaseGeneration, shellQuote(r.ApplyID), shellQuote(r.Operator))
	for _, s := range r.Supersedes {
		command += " --supersedes " + shellQuote(s)
	}
	return command
}

// shellQuote returns an argument quoted for a POSIX shell if it needs that.
func shellQuote(s string) string {
	if !strings.ContainsFunc(s, func(r rune) bool { return !strings.ContainsRune(shellSafe, r) }) {
		return cmp.Or(s, "''")
	}
	return "'" + strings.ReplaceAll(s, "'", `'\''`) + "'"
}

const shellSafe = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789@%+=:,./-_"
