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
	// finished marks the event that gives the reason of the end, and no token.
	finished = `"finish_reason":"`
	// promptWords is how many words of three hexadecimal digits there are.
	promptWords = 1 << 12
)

// answer is how one try ended; text says of a bad one what it was.
type answer struct {
	ok     bool
	notRun bool
	ran    bool
	// unreached says that nothing answered, which is no refusal.
	unreached  bool
	retryAfter time.Duration
	text       string
}

// call is one call from its first try to its end.
type call struct {
	*ferryexperiment.Sample
	key steerKey
	// id is the idempotency key of all tries.
	id ferryid.RequestID
	// last is the id of the last event that came, and got how many tokens did.
	last    string
	got     ferryid.Tokens
	tries   int
	breaks  int
	resumed bool
	failure string
}

func (l *Load) newCall(a *ferryworkload.Arrival, index int) *call {
	service := l.cfg.Model
	if a.Kind.Path != "" {
		service = l.cfg.Plain
	}
	key := steerKey{customer: a.Customer, service: service, caller: index % max(1, l.cfg.Callers)}
	return &call{Sample: &ferryexperiment.Sample{Arrival: a}, key: key, id: ferryid.NewRequestID()}
}

// completion is the body of POST /v1/completions.
type completion struct {
	Model     string         `json:"model"`
	Prompt    string         `json:"prompt"`
	MaxTokens ferryid.Tokens `json:"max_tokens"`
	Stream    bool           `json:"stream"`
}

func (l *Load) send(ctx context.Context, c *call) answer {
	address := l.entries.address(ctx, c.key)
	req, err := l.request(ctx, c, address)
	if err != nil {
		return answer{notRun: true, text: err.Error()}
	}
	l.sent(address)
	res, err := l.cfg.Client.Do(req)
	if err != nil {
		l.entries.failed(c.key, address)
		return answer{notRun: notConnected(err), unreached: true, retryAfter: time.Millisecond, text: "no answer"}
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
		req.Header.Set("Idempotency-Key", string(c.id))
	}
	if c.last != "" {
		req.Header.Set("Last-Event-ID", c.last)
	}
	authorize(req, l.cfg, c.Arrival.Customer)
	return req, nil
}

// prompt is a text of as many words of four bytes as the call has prompt tokens, the shared ones first and the next unlike any
// other call's.
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

// notConnected reports whether an error came before a byte of the call was written.
func notConnected(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func refusal(res *http.Response) answer {
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, maxAnswerBytes))
	a := answer{text: res.Status}
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

func (l *Load) readPlain(c *call, r io.Reader) answer {
	if _, err := io.Copy(io.Discard, r); err != nil {
		return answer{text: "cut off"}
	}
	c.First = l.now()
	l.serve(c, 1)
	return answer{ok: true}
}

// readStream counts the tokens of a stream; one that ends without [DONE] was cut off.
func (l *Load) readStream(c *call, r io.Reader) answer {
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
			return answer{text: "error event"}
		case field != "data" || strings.Contains(value, finished):
		case value == "[DONE]":
			return answer{ok: true}
		default:
			l.token(c, id)
		}
	}
	return answer{text: "cut off"}
}

// token takes one token; the first one stands for the reading of the prompt, too.
func (l *Load) token(c *call, id string) {
	work := 1.0
	if c.First == 0 {
		c.First = l.now()
		work += ferryworkload.PrefillShare * float64(c.Arrival.Prompt)
	}
	c.resumed = c.resumed || c.breaks > 0 && c.last != ""
	c.last = id
	c.got++
	l.serve(c, work)
}
