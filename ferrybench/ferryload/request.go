package ferryload

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
	"cactusferry.dev/ferrybench/ferryexperiment"
	"cactusferry.dev/ferrybench/ferryworkload"
)

const (
	// maxEventBytes bounds one line of a stream.
	maxEventBytes = 1 << 20
	// finishReason occurs in the event that carries the finish reason and no token.
	finishReason = `"finish_reason":"`
	// promptWords is the number of words of three hexadecimal digits.
	promptWords = 1 << 12
)

// tryResult is the result of one try; text describes the failure.
type tryResult struct {
	ok     bool
	notRun bool
	ran    bool
	// noResponse is set if the entry did not answer, which does not count as a refusal.
	noResponse bool
	retryAfter time.Duration
	text       string
}

// call is the state of one call over all its tries.
type call struct {
	*ferryexperiment.Sample
	key steeringKey
	// idempotencyKey is the Idempotency-Key header, the same for all tries.
	idempotencyKey ferryid.RequestID
	// lastEventID is the ID of the last event received, received the number of tokens received.
	lastEventID string
	received    ferryid.Tokens
	tries       int
	breaks      int
	resumed     bool
	failure     string
}

func (l *Load) newCall(a *ferryworkload.Arrival, index int) *call {
	service := l.cfg.Model
	if a.Kind.Path != "" {
		service = l.cfg.Plain
	}
	key := steeringKey{customer: a.Customer, service: service, caller: index % max(1, l.cfg.Callers)}
	return &call{Sample: &ferryexperiment.Sample{Arrival: a}, key: key, idempotencyKey: ferryid.NewRequestID()}
}

// completion is the body of POST /v1/completions.
type completion struct {
	Model     string         `json:"model"`
	Prompt    string         `json:"prompt"`
	MaxTokens ferryid.Tokens `json:"max_tokens"`
	Stream    bool           `json:"stream"`
}

func (l *Load) send(ctx context.Context, c *call) tryResult {
	address := l.steering.address(ctx, c.key)
	req, err := l.request(ctx, c, address)
	if err != nil {
		return tryResult{notRun: true, text: err.Error()}
	}
	l.countTry(address)
	res, err := l.cfg.Client.Do(req)
	if err != nil {
		l.steering.markFailed(c.key, address)
		return tryResult{notRun: dialFailed(err), noResponse: true, retryAfter: time.Millisecond, text: "no answer"}
	}
	defer res.Body.Close()
	if res.StatusCode >= http.StatusBadRequest {
		return refusal(res)
	}
	if !c.Started {
		c.Started, c.Admitted = true, l.now()
	}
	if c.Arrival.Kind.Path != "" {
		return l.readPlain(c, res.Body)
	}
	return l.readStream(c, res.Body)
}

func (l *Load) request(ctx context.Context, c *call, address string) (*http.Request, error) {
	k := c.Arrival.Kind
	method, target := http.MethodPost, "http://"+address+"/v1/completions"
	body, err := json.Marshal(completion{Model: string(l.cfg.Model), Prompt: prompt(c.Sample), MaxTokens: c.Arrival.Tokens, Stream: true})
	if k.Path != "" {
		method, target = k.Method, "http://"+address+"/v1/services/"+string(l.cfg.Plain)+k.Path
		body = nil
	}
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	if k.Path != "" && !k.Repeatable {
		req.Header.Set("Idempotency-Key", string(c.idempotencyKey))
	}
	if c.lastEventID != "" {
		req.Header.Set("Last-Event-ID", c.lastEventID)
	}
	authorize(req, l.cfg, c.Arrival.Customer)
	return req, nil
}

// prompt returns one word per prompt token. The words of the shared prefix come first. The next word is the
// arrival time, so that prompts differ between calls.
func prompt(x *ferryexperiment.Sample) string {
	var b strings.Builder
	a := x.Arrival
	for i := range a.Prompt {
		switch {
		case i < a.Kind.Shared:
			fmt.Fprintf(&b, "%03x ", (a.Prefix+uint64(i))%promptWords)
		case i == a.Kind.Shared:
			fmt.Fprintf(&b, "%x ", uint64(a.At))
		default:
			fmt.Fprintf(&b, "%03x ", i%promptWords)
		}
	}
	return b.String()
}

// dialFailed reports whether err comes from dialing, before any byte of the call was written.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func refusal(res *http.Response) tryResult {
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, maxAnswerBytes))
	a := tryResult{text: res.Status}
	switch ferryoutcome.Outcome(res.Header.Get(ferryoutcome.Header)) {
	case ferryoutcome.NotRun:
		a.notRun = true
	case ferryoutcome.Ran:
		a.ran = true
	}
	if s, err := strconv.Atoi(res.Header.Get("Retry-After")); err == nil && s >= 0 {
		a.retryAfter = time.Duration(s) * time.Second
	}
	return a
}

func (l *Load) readPlain(c *call, r io.Reader) tryResult {
	if _, err := io.Copy(io.Discard, r); err != nil {
		return tryResult{text: "cut off"}
	}
	c.First = l.now()
	l.recordWork(c, 1)
	return tryResult{ok: true}
}

// readStream counts the tokens of a stream; a stream that ends without [DONE] is truncated.
func (l *Load) readStream(c *call, r io.Reader) tryResult {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxEventBytes)
	id := ""
	for sc.Scan() {
		field, value, _ := strings.Cut(sc.Text(), ":")
		value = strings.TrimPrefix(value, " ")
		switch {
		case field == "id":
			id = value
		case field == "event" && value == "error":
			return tryResult{text: "error event"}
		case field != "data" || strings.Contains(value, finishReason):
		case value == "[DONE]":
			return tryResult{ok: true}
		default:
			l.onToken(c, id)
		}
	}
	return tryResult{text: "cut off"}
}

// onToken records one token; the first one includes the work of the prefill.
func (l *Load) onToken(c *call, id string) {
	work := 1.0
	if c.First == 0 {
		c.First = l.now()
		work += ferryworkload.PrefillShare * float64(c.Arrival.Prompt)
	}
	c.resumed = c.resumed || c.breaks > 0 && c.lastEventID != ""
	c.lastEventID = id
	c.received++
	l.recordWork(c, work)
}
