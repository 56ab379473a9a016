package ferryforward

import (
	"net/http"
	"time"

	"cactusferry.dev/ferry/ferrybalance"
	"cactusferry.dev/ferry/ferryconfig"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypath"
	"cactusferry.dev/ferry/ferrysuspect"
)

// RequestInfo holds the values decoded from a request's headers.
type RequestInfo struct {
	ID ferryid.RequestID
	// Timeout is the caller's timeout; zero means no limit.
	Timeout time.Duration
	Key     ferryconfig.Key
	// Prompt is the number of prompt tokens of a generation, and Answer the maximum number of tokens to
	// generate.
	Prompt, Answer ferryid.Tokens
	// AnswerHint is the caller's estimate of the number of generated tokens, or zero.
	AnswerHint ferryid.Tokens
	// After is the id of the last event that the caller received of an earlier answer, or empty.
	After string
	// Parts are the parts of the prompt that other requests may hold too.
	Parts []ferrysuspect.PartID
}

// OutgoingInfo holds the values that the router adds to a forwarded request.
type OutgoingInfo struct {
	// Instance is the name of the upstream that the request is sent to; any other instance must not run it.
	Instance string
	// Timeout is the time left until the deadline of the request.
	Timeout  time.Duration
	Customer ferryid.CustomerName
	// Path is set for a generation that runs over several engines.
	Path *ferrypath.Path
	// After is the id of the event after which a stream resumes, or empty.
	After string
	// Priority is the priority of a generation among those that wait at an engine, or nil for the engine's default.
	Priority *EnginePriority
}

// EnginePriority is the priority of a generation at an engine, from 0 for the most urgent to MaxEnginePriority.
type EnginePriority int

// MaxEnginePriority is the least urgent priority.
const MaxEnginePriority EnginePriority = 9

// AnswerInfo holds the values decoded from the headers of an upstream's answer.
type AnswerInfo struct {
	// NotRun is set when the upstream states that it did not run the request.
	NotRun bool
	// Elsewhere is set when a different instance now answers at the address.
	Elsewhere bool
	// Misplaced is set when an engine of the path does not hold the requested layers; nothing was run.
	Misplaced bool
	// Signed is set when the answer carries an upstream's signature; a success without one is not trusted.
	Signed bool
	// FailedEngine is the address of the engine on the path that failed or refused, or empty.
	FailedEngine string
	// Leaving is set when the upstream that answers is leaving.
	Leaving bool
	// RetryAfter is for how long the upstream that refused, FailedEngine if that is set, wants no requests.
	RetryAfter time.Duration
	// InvalidRetryAfter is the stated value of RetryAfter if it could not be decoded.
	InvalidRetryAfter string
	Load              *ferrybalance.Load
}

// CertainlyNotRun reports whether the request was certainly not run.
func (v AnswerInfo) CertainlyNotRun() bool {
	return v.NotRun || v.Elsewhere || v.Misplaced
}

// Dialect decodes and encodes the headers shared by callers, the router and upstreams.
type Dialect interface {
	// DecodeRequest decodes the headers of a caller's request.
	DecodeRequest(h http.Header) (RequestInfo, error)
	// EncodeOutgoing adds the router's headers for the upstream and removes those that must not be forwarded.
	EncodeOutgoing(h http.Header, o OutgoingInfo)
	// DecodeAnswer decodes the status and headers of an upstream's answer.
	DecodeAnswer(status int, h http.Header) AnswerInfo
	// StripInternal removes the headers of an upstream's answer that are not for the caller.
	StripInternal(h http.Header)
	// EncodeRefusal adds the headers of a problem answer; a wait of zero adds no Retry-After.
	EncodeRefusal(h http.Header, id ferryid.RequestID, wait time.Duration)
	// Echo returns the name of the header that an answer copies from its request.
	Echo() string
}
