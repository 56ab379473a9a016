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
	retryPause = 100 * time.Millisecond
	// silenceLimit is how long a caller waits for the next piece of a stream.
	silenceLimit = 5 * time.Second
	// postLimit is how long a caller waits for the answer to a change.
	postLimit = 10 * time.Second
)

// tally counts how the calls of a load ended.
type tally struct {
	mu      sync.Mutex
	whole   int
	resumed int
	refused int
	// unreached counts calls to an entry that was gone, with nothing sent back; the caller then uses the next of its list.
	unreached int
	wrong     []string
	why       map[string]int
}

func (t *tally) add(f func(*tally)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(t)
}

func (t *tally) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%d whole answers, %d resumes, %d refusals as NotRun %v, %d calls to an entry that was gone, %d wrong", t.whole, t.resumed, t.refused, t.why, t.unreached, len(t.wrong))
}

// err is the first thing that was wrong, if any.
func (t *tally) err() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.wrong) == 0 {
		return nil
	}
	return errors.New(t.wrong[0])
}

// streams runs callers that ask for one completion after another until the context of the load ends; those begun are finished.
func (w *world) streams(load, ctx context.Context, callers, tokens int, t *tally) *sync.WaitGroup {
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			for n := 0; load.Err() == nil; n++ {
				w.stream(ctx, i+n, fmt.Sprintf("caller %d asks question %d", i, n), tokens, t)
			}
		})
	}
	return &wg
}

// stream asks for one completion as the first customer and resumes it at the next entry until it is whole.
func (w *world) stream(ctx context.Context, at int, prompt string, tokens int, t *tally) {
	w.ask(ctx, question{key: ferrydemo.CustomerKey, at: at, prompt: prompt, tokens: tokens}, t)
}

// question is one completion that a customer asks for.
type question struct {
	key    string
	at     int
	prompt string
	tokens int
	// first, if set, is the address of the first try.
	first string
	// each, if set, is told of every piece.
	each func(ferrydemo.Chunk)
}

func (q question) body() string {
	return ferrydemo.CompletionBody(q.prompt, q.tokens, uint64(q.at))
}

func (q question) want() string {
	return strings.Join(ferryenginetest.Reference(uint64(q.at), q.prompt, q.tokens, ferrydemo.Layers), "")
}

// ask sends a question, resumes it at the next entry whenever its stream breaks or goes silent, and compares the text, as a careful caller does.
func (w *world) ask(ctx context.Context, q question, t *tally) {
	var text strings.Builder
	last := ""
	for try := 0; ctx.Err() == nil; try++ {
		c := w.Caller(w.Entries[(q.at+try)%len(w.Entries)].Callers, q.key)
		if try == 0 && q.first != "" {
			c.Entry = q.first
		}
		err := streamUntilSilent(ctx, c, q.body(), last, func(p ferrydemo.Chunk) {
			text.WriteString(p.Text)
			last = p.ID
			if q.each != nil {
				q.each(p)
			}
		})
		if err == nil {
			break
		}
		t.add(func(t *tally) { count(t, err, last) })
		time.Sleep(retryPause)
	}
	if ctx.Err() != nil {
		t.add(func(t *tally) {
			t.wrong = append(t.wrong, fmt.Sprintf("prompt %q: no whole answer before the end of the case", q.prompt))
		})
		return
	}
	t.add(func(t *tally) {
		if text.String() == q.want() {
			t.whole++
			return
		}
		t.wrong = append(t.wrong, fmt.Sprintf("prompt %q: the text must be %q, is %q", q.prompt, q.want(), text.String()))
	})
}

// streamUntilSilent gives a stream up that brings nothing for the silence limit.
func streamUntilSilent(ctx context.Context, c ferrydemo.Caller, body, last string, each func(ferrydemo.Chunk)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(silenceLimit, cancel)
	defer timer.Stop()
	return c.Stream(ctx, body, last, func(p ferrydemo.Chunk) {
		timer.Reset(silenceLimit)
		each(p)
	})
}

// problemText is the kind and the sentence of a problem.
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
		if t.why == nil {
			t.why = map[string]int{}
		}
		t.why[problemText(s.Body)]++
		return
	}
	if last != "" {
		t.resumed++
		return
	}
	t.unreached++
}

// plainCall is one call to the plain service and what the caller was told.
type plainCall struct {
	key     string
	status  int
	outcome string
	detail  string
	body    string
	err     error
}

// told is the outcome as the caller was told it.
func (c plainCall) told() string {
	switch {
	case c.err != nil:
		return "no answer"
	case c.status < http.StatusMultipleChoices:
		return "Ran"
	}
	return c.outcome
}

const ration = `{"Kilograms":2}`

// post sends one change under a key to an entry.
func (w *world) post(ctx context.Context, entry int, key string) plainCall {
	return w.send(ctx, entry, key, ration, http.Header{"Idempotency-Key": {key}})
}

// send sends one change with the headers to an entry.
func (w *world) send(ctx context.Context, entry int, key, body string, header http.Header) plainCall {
	return w.sendTo(ctx, entry, "417", key, body, header)
}

// sendTo sends one change of a cow's ration to an entry and gives it up after the limit.
func (w *world) sendTo(ctx context.Context, entry int, cow, key, body string, header http.Header) plainCall {
	ctx, cancel := context.WithTimeout(ctx, postLimit)
	defer cancel()
	c := w.Caller(w.Entries[entry%len(w.Entries)].Callers, ferrydemo.CustomerKey)
	status, h, body, err := c.Do(ctx, http.MethodPost, "/v1/services/"+ferrydemo.PlainService+"/rations/"+cow, body, header)
	out := plainCall{key: key, status: status, err: err, body: body}
	if status >= http.StatusBadRequest {
		out.detail = problemText(body)
	}
	if h != nil {
		out.outcome = h.Get("Outcome")
	}
	return out
}

// runs counts how often the plain service ran each key.
func (w *world) runs(ctx context.Context) (map[string]int, error) {
	var records []struct{ IdempotencyKey string }
	if err := w.GetJSON(ctx, "http://"+w.Plain+"/admin/records", &records); err != nil {
		return nil, err
	}
	out := map[string]int{}
	for _, r := range records {
		out[r.IdempotencyKey]++
	}
	return out, nil
}
