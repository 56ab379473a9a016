package ferryproof

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"cactusferry.dev/ferry/ferryengine/ferryenginetest"
	"cactusferry.dev/ferry/ferryoutcome"
	"cactusferry.dev/ferrystand/ferrydemo"
)

const (
	retryInterval = 100 * time.Millisecond
	// streamIdleTimeout is the longest time a caller waits for the next chunk of a stream.
	streamIdleTimeout = 5 * time.Second
	// postTimeout is the longest time a caller waits for the answer to a POST.
	postTimeout = 10 * time.Second
)

// tally counts the results of the calls of a load.
type tally struct {
	mu       sync.Mutex
	complete int
	resumed  int
	refused  int
	// unreached counts calls that failed without any data from the
	// entry; the caller then tries the next entry of its list.
	unreached int
	failures  []string
	reasons   map[string]int
}

func (t *tally) add(f func(*tally)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(t)
}

func (t *tally) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%d whole answers, %d resumes, %d refusals as NotRun %v, %d calls to an entry that was gone, %d wrong", t.complete, t.resumed, t.refused, t.reasons, t.unreached, len(t.failures))
}

// err returns the first failure, if any.
func (t *tally) err() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.failures) == 0 {
		return nil
	}
	return errors.New(t.failures[0])
}

// startStreams starts callers that request one completion after another
// until the load context ends; requests in progress are completed.
func (h *harness) startStreams(load, ctx context.Context, callers, tokens int, t *tally) *sync.WaitGroup {
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			for n := 0; load.Err() == nil; n++ {
				h.stream(ctx, i+n, fmt.Sprintf("caller %d asks question %d", i, n), tokens, t)
			}
		})
	}
	return &wg
}

// stream requests one completion as the first customer
// and resumes it at the next entry until it is complete.
func (h *harness) stream(ctx context.Context, at int, prompt string, tokens int, t *tally) {
	h.requestCompletion(ctx, completion{key: ferrydemo.CustomerKey, index: at, prompt: prompt, tokens: tokens}, t)
}

// completion is one completion request of a customer.
type completion struct {
	key    string
	index  int
	prompt string
	tokens int
	// firstAddress, if set, is the address used for the first attempt.
	firstAddress string
	// onChunk, if set, is called for every chunk.
	onChunk func(ferrydemo.Chunk)
}

func (q completion) body() string {
	return ferrydemo.CompletionBody(q.prompt, q.tokens, uint64(q.index))
}

func (q completion) expectedText() string {
	return strings.Join(ferryenginetest.Reference(uint64(q.index), q.prompt, q.tokens, ferrydemo.Layers), "")
}

// requestCompletion sends a request, resumes it at the next entry whenever its
// stream breaks or goes silent, and compares the text with the expected one.
func (h *harness) requestCompletion(ctx context.Context, q completion, t *tally) {
	var text strings.Builder
	last := ""
	for try := 0; ctx.Err() == nil; try++ {
		c := h.Caller(h.Entries[(q.index+try)%len(h.Entries)].CallerAddress, q.key)
		if try == 0 && q.firstAddress != "" {
			c.Entry = q.firstAddress
		}
		err := streamWithIdleTimeout(ctx, c, q.body(), last, func(p ferrydemo.Chunk) {
			text.WriteString(p.Text)
			last = p.ID
			if q.onChunk != nil {
				q.onChunk(p)
			}
		})
		if err == nil {
			break
		}
		t.add(func(t *tally) { count(t, err, last) })
		time.Sleep(retryInterval)
	}
	if ctx.Err() != nil {
		t.add(func(t *tally) {
			t.failures = append(t.failures, fmt.Sprintf("prompt %q: answer incomplete at the end of the case", q.prompt))
		})
		return
	}
	t.add(func(t *tally) {
		if text.String() == q.expectedText() {
			t.complete++
			return
		}
		t.failures = append(t.failures, fmt.Sprintf("prompt %q: expected text %q, got %q", q.prompt, q.expectedText(), text.String()))
	})
}

// streamWithIdleTimeout reads a stream and cancels it when no chunk arrives within the idle timeout.
func streamWithIdleTimeout(ctx context.Context, c ferrydemo.Caller, body, last string, each func(ferrydemo.Chunk)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(streamIdleTimeout, cancel)
	defer timer.Stop()
	return c.Stream(ctx, body, last, func(p ferrydemo.Chunk) {
		timer.Reset(streamIdleTimeout)
		each(p)
	})
}

// problemText returns the kind and the detail of a problem answer, or the body as it is.
func problemText(body string) string {
	var p ferryoutcome.Problem
	if err := json.Unmarshal([]byte(body), &p); err != nil {
		return body
	}
	return fmt.Sprintf("%s: %s", p.Kind, p.Detail)
}

func count(t *tally, err error, last string) {
	var s *ferrydemo.StatusError
	if errors.As(err, &s) && s.Header.Get("Outcome") == "NotRun" {
		t.refused++
		if t.reasons == nil {
			t.reasons = map[string]int{}
		}
		t.reasons[problemText(s.Body)]++
		return
	}
	if last != "" {
		t.resumed++
		return
	}
	t.unreached++
}

// plainCall is one call to the plain service and its answer.
type plainCall struct {
	key     string
	status  int
	outcome string
	detail  string
	body    string
	err     error
}

// reported returns the outcome as reported to the caller.
func (c plainCall) reported() string {
	switch {
	case c.err != nil:
		return "no answer"
	case c.status < http.StatusMultipleChoices:
		return "Ran"
	}
	return c.outcome
}

const ration = `{"Kilograms":2}`

// post sends one ration change with an idempotency key to an entry.
func (h *harness) post(ctx context.Context, entry int, key string) plainCall {
	return h.send(ctx, entry, key, ration, http.Header{"Idempotency-Key": {key}})
}

// send sends one ration change with the given headers to an entry.
func (h *harness) send(ctx context.Context, entry int, key, body string, header http.Header) plainCall {
	return h.sendTo(ctx, entry, "417", key, body, header)
}

// sendTo sends a change of one cow's ration to an entry, with a time limit of postTimeout.
func (h *harness) sendTo(ctx context.Context, entry int, cow, key, body string, header http.Header) plainCall {
	ctx, cancel := context.WithTimeout(ctx, postTimeout)
	defer cancel()
	c := h.Caller(h.Entries[entry%len(h.Entries)].CallerAddress, ferrydemo.CustomerKey)
	status, answerHeader, body, err := c.Do(ctx, http.MethodPost, "/v1/services/"+ferrydemo.PlainService+"/rations/"+cow, body, header)
	out := plainCall{key: key, status: status, err: err, body: body}
	if status >= http.StatusBadRequest {
		out.detail = problemText(body)
	}
	if answerHeader != nil {
		out.outcome = answerHeader.Get("Outcome")
	}
	return out
}

// runsByKey returns the number of runs of each key at the plain service.
func (h *harness) runsByKey(ctx context.Context) (map[string]int, error) {
	var records []struct{ IdempotencyKey string }
	if err := h.GetJSON(ctx, "http://"+h.PlainAddress+"/admin/records", &records); err != nil {
		return nil, err
	}
	out := map[string]int{}
	for _, r := range records {
		out[r.IdempotencyKey]++
	}
	return out, nil
}
