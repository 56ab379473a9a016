package ferryload

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
	"cactusferry.dev/ferrybench/ferryexperiment"
)

// maxEventBytes bounds one line of a stream.
const maxEventBytes = 1 << 20

// answer is how one try ended.
type answer struct {
	ok         bool
	notRun     bool
	ran        bool
	retryAfter time.Duration
}

// completion is the body of POST /v1/completions.
type completion struct {
	Model     string         `json:"model"`
	Prompt    string         `json:"prompt"`
	MaxTokens ferryid.Tokens `json:"max_tokens"`
	Stream    bool           `json:"stream"`
}

func (l *Load) send(ctx context.Context, x *ferryexperiment.Sample) answer {
	service := l.cfg.Model
	if x.Arrival.Kind.Path != "" {
		service = l.cfg.Plain
	}
	address := l.entries.address(ctx, x.Arrival.Customer, service)
	req, err := l.request(ctx, x, address)
	if err != nil {
		return answer{notRun: true}
	}
	res, err := l.cfg.Client.Do(req)
	if err != nil {
		l.entries.failed(x.Arrival.Customer, service, address)
		return answer{notRun: notConnected(err), retryAfter: time.Millisecond}
	}
	defer res.Body.Close()
	if res.StatusCode >= http.StatusBadRequest {
		return refusal(res)
	}
	x.Started, x.Admitted = true, l.now()
	if x.Arrival.Kind.Path != "" {
		return l.readPlain(x, res.Body)
	}
	return l.readStream(x, res.Body)
}

func (l *Load) request(ctx context.Context, x *ferryexperiment.Sample, address string) (*http.Request, error) {
	k := x.Arrival.Kind
	method, target := http.MethodPost, "http://"+address+"/v1/completions"
	body, err := json.Marshal(completion{Model: string(l.cfg.Model), Prompt: prompt(x), MaxTokens: x.Arrival.Tokens, Stream: true})
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
		req.Header.Set("Idempotency-Key", string(ferryid.NewRequestID()))
	}
	authorize(req, l.cfg, x.Arrival.Customer)
	return req, nil
}

// prompt is a text of as many words as the call has prompt tokens, the shared ones first.
func prompt(x *ferryexperiment.Sample) string {
	var b strings.Builder
	for i := range x.Arrival.Prompt {
		if i < x.Arrival.Kind.Shared {
			b.WriteString("p" + strconv.FormatUint(x.Arrival.Prefix, 10) + " ")
			continue
		}
		b.WriteString("w" + strconv.Itoa(int(i)) + " ")
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
	a := answer{}
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

func (l *Load) readPlain(x *ferryexperiment.Sample, r io.Reader) answer {
	if _, err := io.Copy(io.Discard, r); err != nil {
		return answer{}
	}
	x.First = l.now()
	l.serve(x, 1)
	return answer{ok: true}
}

// readStream counts the events of a stream; one that ends without [DONE] was cut off.
func (l *Load) readStream(x *ferryexperiment.Sample, r io.Reader) answer {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxEventBytes)
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data:")
		if !ok {
			continue
		}
		if strings.TrimSpace(data) == "[DONE]" {
			return answer{ok: true}
		}
		if x.First == 0 {
			x.First = l.now()
		}
		l.serve(x, 1)
	}
	return answer{}
}
