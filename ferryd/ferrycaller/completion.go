package ferrycaller

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
	"cactusferry.dev/ferry/ferrypipeline"
	"cactusferry.dev/ferry/ferryqueue"
	"cactusferry.dev/ferry/ferryservice"
	"cactusferry.dev/ferry/ferrystream"
)

const (
	// EventIDHeader is the request header with the id of the last event received, from which a stream resumes.
	EventIDHeader = "Last-Event-ID"
	// StreamHeader is the response header with the stream's id.
	StreamHeader = "Stream-ID"
	// bytesPerToken is the assumed ratio for estimating a prompt's tokens from its length.
	bytesPerToken = 4
	// tokenBuffer is how many tokens are buffered for a slow caller before generation blocks.
	tokenBuffer       = 64
	heartbeatInterval = 5 * time.Second
	// progressTokens is the number of tokens between progress reports to the queue.
	progressTokens = 16
)

// errPreempted is the cancellation cause of a run that the queue preempts.
var errPreempted = errors.New("preempted")

// stream is one completion request in progress.
type stream struct {
	server  *Server
	caller  *caller
	req     *Completion
	job     ferrypipeline.Job
	grant   *ferryqueue.Grant
	resume  *ferrystream.Resume
	metrics *streamMetrics
	tokens  chan ferrypipeline.Token
	texts   []string
	result  ferrypipeline.Result
}

// completions handles completion and chat completion requests.
func (s *Server) completions(w http.ResponseWriter, r *http.Request, chat bool) {
	defer s.trackOpen(&s.openStreams)()
	if p := s.checkServing(); p != nil {
		s.fail(w, r, p)
		return
	}
	arrived := s.Clock.Now()
	st, p := s.openStream(w, r, chat)
	if p != nil {
		s.fail(w, r, p)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), st.job.Deadline)
	defer cancel()
	grant, err := s.Models.Acquire(ctx, st.caller.doc, st.item())
	if err != nil {
		s.fail(w, r, asProblem(err))
		return
	}
	st.grant = grant
	st.metrics = s.Metrics.stream(st.job.Service, arrived)
	defer func() { grant.Done(ferryid.Tokens(len(st.texts))) }()
	s.Events.Add("StreamStarted", string(st.job.Stream), "customer %s, request %s", st.caller.customer.Name, st.caller.id)
	ended := make(chan error, 1)
	go func() { ended <- st.run(ctx) }()
	if st.req.Stream {
		st.writeEvents(cancel, w, r, ended, formatOf(chat))
		return
	}
	st.writeComplete(w, r, ended, formatOf(chat))
}

func formatOf(chat bool) ferrystream.Format {
	if chat {
		return ferrystream.FormatChat
	}
	return ferrystream.FormatCompletions
}

// openStream reads and validates the request, authenticates the caller and opens its resume token.
func (s *Server) openStream(w http.ResponseWriter, r *http.Request, chat bool) (*stream, *ferryoutcome.Problem) {
	limit, ok := s.Documents.BodyLimit(bearerToken(r))
	if !ok {
		return nil, unauthorized()
	}
	body, p := s.readBody(w, r, limit)
	if p != nil {
		return nil, p
	}
	req, p := decodeCompletion(body, chat)
	if p != nil {
		return nil, p
	}
	c, p := s.authenticate(r, req.Model, ferryservice.KindModel)
	if p != nil {
		return nil, p
	}
	if int64(len(body)) > c.doc.Limits.BodyBytes {
		return nil, tooLarge(c.doc.Limits.BodyBytes)
	}
	if p := s.checkRateLimit(c, 1); p != nil {
		return nil, p
	}
	st := &stream{server: s, caller: c, req: req, tokens: make(chan ferrypipeline.Token, tokenBuffer)}
	deadline, p := s.deadline(r, streamDeadline(c.doc, ferryid.Tokens(req.maxTokens())))
	if p != nil {
		return nil, p
	}
	st.job = ferrypipeline.Job{
		Service: c.doc.Service, Stream: ferryid.NewStreamID(), Customer: c.customer.Name, Prompt: req.text,
		MaxTokens: req.maxTokens(), Seed: req.seedOrDefault(), Deadline: deadline,
	}
	p = st.openResume(r)
	callInfoOf(r.Context()).stream = st.job.Stream
	return st, p
}

// streamDeadline returns the deadline of the class for n tokens, the stream's maximum,
// or that of the service if the class has none.
func streamDeadline(d *ferryservice.Document, n ferryid.Tokens) ferryservice.Duration {
	if cl := d.Classes.ForTokens(n); cl.Deadline > 0 {
		return cl.Deadline
	}
	return d.Limits.Deadline
}

// openResume opens the resume token, if the request has one.
func (st *stream) openResume(r *http.Request) *ferryoutcome.Problem {
	id := r.Header.Get(EventIDHeader)
	if id == "" {
		return nil
	}
	digest := ferrystream.RequestDigest(st.job.Prompt, st.job.MaxTokens, st.job.Seed)
	t, err := st.server.Sealer.Open(id, st.job.Customer, st.job.Service, digest)
	if err != nil {
		p := badRequest("The header %s does not resume this request: %s; send the request as before, or without the header to begin anew.", EventIDHeader, err)
		p.Kind = ferryoutcome.KindForbidden
		p.Status = http.StatusForbidden
		return p
	}
	st.resume = &t
	st.job.Stream = t.Stream
	st.job.Epoch = t.Epoch
	return nil
}

func (st *stream) item() ferryqueue.Item {
	return ferryqueue.Item{
		ID: st.caller.id, Customer: st.caller.customer.Name, Prompt: ferryid.Tokens(1 + len(st.job.Prompt)/bytesPerToken),
		MaxTokens: ferryid.Tokens(st.job.MaxTokens), Deadline: st.job.Deadline, Arrived: st.server.Clock.Now(),
		Resumed: st.resume != nil,
	}
}

// run generates the answer and closes tokens at its end. After each preemption it waits for the
// grant to resume.
func (st *stream) run(ctx context.Context) error {
	defer close(st.tokens)
	job := st.job
	for {
		err := st.runGrant(ctx, &job)
		if !errors.Is(err, errPreempted) {
			return err
		}
		st.server.Events.Add("StreamPreempted", string(st.job.Stream), "after %d tokens", len(st.texts))
		if err := st.grant.Resume(ctx); err != nil {
			return err
		}
		job.Resume = st.texts
	}
}

// runGrant generates until the answer ends or the grant is preempted.
func (st *stream) runGrant(ctx context.Context, job *ferrypipeline.Job) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		select {
		case <-st.grant.Preempted():
			cancel(errPreempted)
		case <-ctx.Done():
		}
	}()
	res, err := st.server.Models.Run(ctx, st.caller.doc, *job, func(t ferrypipeline.Token) error {
		select {
		case st.tokens <- t:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
		st.texts = append(st.texts, t.Text)
		job.Epoch = max(job.Epoch, t.Epoch)
		if len(st.texts)%progressTokens == 0 {
			st.grant.Progress(ferryid.Tokens(len(st.texts)))
		}
		return nil
	})
	st.result = res
	if err != nil && errors.Is(context.Cause(ctx), errPreempted) {
		return errPreempted
	}
	return err
}

// writeEvents sends tokens as they arrive, several in one write if the caller reads more slowly.
func (st *stream) writeEvents(cancel func(), w http.ResponseWriter, r *http.Request, ended chan error, format ferrystream.Format) {
	out, err := st.newWriter(w, format)
	if err != nil {
		cancel()
		<-ended
		st.server.fail(w, r, asProblem(err))
		return
	}
	heartbeats := st.server.Clock.NewTicker(heartbeatInterval)
	defer heartbeats.Stop()
	for {
		select {
		case t, ok := <-st.tokens:
			if !ok {
				st.finishEvents(out, r, <-ended)
				return
			}
			err = out.tokens(t, st.tokens)
		case <-heartbeats.Chan():
			err = out.heartbeat()
		}
		if err != nil {
			cancel()
			<-ended
			st.abortEvents(out, r, err)
			return
		}
	}
}

func (st *stream) finishEvents(out *eventWriter, r *http.Request, err error) {
	if err == nil {
		err = out.done(st.result.Reason)
	}
	if err != nil {
		st.abortEvents(out, r, err)
		return
	}
}

// abortEvents ends an incomplete answer: with a problem response if nothing was sent, else with
// an error event.
func (st *stream) abortEvents(out *eventWriter, r *http.Request, err error) {
	p := asProblem(err)
	st.server.Events.Add("StreamFailed", string(st.job.Stream), "after %d tokens: %s", len(st.texts), p.Kind)
	if !out.started {
		st.server.fail(out.w, r, p)
		return
	}
	st.server.logFailure(r, p)
	_ = out.failed(p)
}

// writeComplete collects the answer and sends it in one response.
func (st *stream) writeComplete(w http.ResponseWriter, r *http.Request, ended chan error, format ferrystream.Format) {
	var text strings.Builder
	for t := range st.tokens {
		text.WriteString(t.Text)
		st.metrics.recordTokens(1, st.server.Clock.Now())
	}
	if err := <-ended; err != nil {
		st.server.fail(w, r, asProblem(err))
		return
	}
	composer := ferrystream.NewComposer(ferrystream.ComposerConfig{
		Format: format, ID: st.job.Stream, Model: st.job.Service, Created: st.server.Clock.Now(),
	})
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(StreamHeader, string(st.job.Stream))
	prompt := 1 + len(st.job.Prompt)/bytesPerToken
	_, _ = w.Write(composer.CompleteAnswer(nil, text.String(), st.result.Reason, prompt, len(st.texts)))
}
