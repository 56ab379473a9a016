package ferryforward

import (
	"net/http"
	"time"

	"cactusferry.dev/ferry/ferrybalance"
	"cactusferry.dev/ferry/ferryconfig"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypath"
)

// Ask is what a request's headers say, decoded.
type Ask struct {
	ID ferryid.RequestID
	// Wait is how long the caller will wait; zero stands for no limit.
	Wait time.Duration
	Key  ferryconfig.Key
	// Prompt and Answer are the tokens of a generation: those to be read and those to be written at the most.
	Prompt, Answer ferryid.Tokens
	// AnswerHint is the caller's estimate of the tokens to be written, or zero.
	AnswerHint ferryid.Tokens
	// After is the id of the last event that the caller has of an earlier answer, or empty.
	After string
}

// Outgoing is what the router itself tells an upstream.
type Outgoing struct {
	// Instance is the upstream that the request is meant for; any other must not run it.
	Instance string
	Wait     time.Duration
	Customer ferryid.CustomerName
	// Path is set for a generation that several engines run.
	Path *ferrypath.Path
	// After continues a stream after an event, or is empty.
	After string
}

// Verdict is what an upstream's answer says beside its status.
type Verdict struct {
	// NotRun is the upstream's own word that it did not run the request.
	NotRun bool
	// Elsewhere says that another upstream answers at the address now.
	Elsewhere bool
	// Misplaced says that an engine of the path does not hold the layers asked of it; nothing was run.
	Misplaced bool
	// Signed says that the answer bears the mark of an upstream, without which a success is not its own.
	Signed bool
	// Culprit is the address of the engine on the path that failed, or empty.
	Culprit string
	Load    *ferrybalance.Load
}

// Refused reports whether the request was certainly not run.
func (v Verdict) Refused() bool {
	return v.NotRun || v.Elsewhere || v.Misplaced
}

// Dialect reads and writes the headers that callers, router and upstreams have agreed on.
type Dialect interface {
	// Ask decodes a request's headers.
	Ask(h http.Header) (Ask, error)
	// Send sets what goes to the upstream beside the caller's own headers, and takes away what does not.
	Send(h http.Header, o Outgoing)
	// Judge reads an upstream's answer.
	Judge(status int, h http.Header) Verdict
	// Deliver takes away the headers of an upstream's answer that do not concern the caller.
	Deliver(h http.Header)
	// Refuse sets what a caller is told beside a problem's status; a wait of zero stands for none.
	Refuse(h http.Header, id ferryid.RequestID, wait time.Duration)
	// Echo is the header that an answer repeats from its request.
	Echo() string
}
