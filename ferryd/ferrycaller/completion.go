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
	// EventIDHeader is the request header with which a caller resumes a stream where it broke off.
	EventIDHeader = "Last-Event-ID"
	// StreamHeader is the response header with the stream's id.
	StreamHeader = "Stream-ID"
	// bytesPerToken turns a prompt's length into an estimate of its tokens.
	bytesPerToken = 4
	// tokenBuffer bounds the tokens that wait for a slow caller; a stream whose buffer is full waits.
	tokenBuffer       = 64
	heartbeatInterval = 5 * time.Second
	// progressTokens is how many tokens pass before the queue is told of them.
	progressTokens = 16
)

// errPreempted cancels a run that has to give its slot to other work.
var errPreempted = errors.New("preempted")

// stream is one completion that is being answered.
type stream struct {
	server *Server
	caller *caller
	req    *Completion
	job    ferrypipeline.Job
	grant  *ferryqueue.Grant
	resume *ferrystream.Resume
	timed  *streamMetrics
	tokens chan ferrypipeline.Token
	texts  []string
	result ferrypipeline.Result
}

// completions answers both shapes of the completions request.
func (s *Server) completions(w http.ResponseWriter, r *http.Request, chat bool) {
	defer s.opened(&s.openStreams)()
	if p := s.admitNew(); p != nil {
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
	st.timed = s.Metrics.stream(st.job.Service, arrived)
	defer func() { grant.Done(ferryid.Tokens(len(st.texts))) }()
	s.Events.Add("StreamStarted", string(st.job.Stream), "customer %s, request %s", st.caller.customer.Name, st.caller.id)
	ended := make(chan error, 1)
	go func() { ended <- st.run(ctx) }()
	if st.req.Stream {
		st.writeEvents(cancel, w, r, ended, shapeOf(chat))
		return
	}
	st.writeWhole(w, r, ended, shapeOf(chat))
}

func shapeOf(chat bool) ferrystream.Shape {
	if chat {
		return ferrystream.ShapeChat
	}
	return ferrystream.ShapeCompletions
}

// openStream reads and checks the request and finds out whose stream it starts or resumes.
func (s *Server) openStream(w http.ResponseWriter, r *http.Request, chat bool) (*stream, *ferryoutcome.Problem) {
	limit, ok := s.Documents.BodyLimit(bearer(r))
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
	if p := s.limited(c, 1); p != nil {
		return nil, p
	}
	st := &stream{server: s, caller: c, req: req, tokens: make(chan ferrypipeline.Token, tokenBuffer)}
	deadline, p := s.deadline(r, streamLimit(c.doc, ferryid.Tokens(req.tokens())))
	if p != nil {
		return nil, p
	}
	st.job = ferrypipeline.Job{
		Service: c.doc.Service, Stream: ferryid.NewStreamID(), Customer: c.customer.Name, Prompt: req.text,
		MaxTokens: req.tokens(), Seed: req.seed(), Deadline: deadline,
	}
	p = st.openResume(r)
	identityOf(r.Context()).stream = st.job.Stream
	return st, p
}

// streamLimit is the deadline of the class that the work falls in at its longest.
func streamLimit(d *ferryservice.Document, n ferryid.Tokens) ferryservice.Duration {
	if cl := d.Classes.Of(n); cl.Deadline > 0 {
		return cl.Deadline
	}
	return d.Limits.Deadline
}

// openResume reads the resume token, if the caller sent one.
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

// run generates the answer, over as many grants as the queue takes and gives back, and closes tokens.
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

// runGrant generates until the answer ends or the grant is taken back.
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

// writeEvents sends tokens as they come, several in one write where they come faster than the caller takes them.
func (st *stream) writeEvents(cancel func(), w http.ResponseWriter, r *http.Request, ended chan error, shape ferrystream.Shape) {
	out, err := st.newWriter(w, shape)
	if err != nil {
		cancel()
		<-ended
		st.server.fail(w, r, asProblem(err))
		return
	}
	beat := st.server.Clock.NewTicker(heartbeatInterval)
	defer beat.Stop()
	for {
		select {
		case t, ok := <-st.tokens:
			if !ok {
				st.endEvents(out, r, <-ended)
				return
			}
			err = out.tokens(t, st.tokens)
		case <-beat.Chan():
			err = out.heartbeat()
		}
		if err != nil {
			cancel()
			<-ended
			st.cutOff(out, r, err)
			return
		}
	}
}

func (st *stream) endEvents(out *eventWriter, r *http.Request, err error) {
	if err == nil {
		err = out.done(st.result.Reason)
	}
	if err != nil {
		st.cutOff(out, r, err)
		return
	}
}

// cutOff ends an answer that is not whole: with a status if nothing was sent, with an error event otherwise.
func (st *stream) cutOff(out *eventWriter, r *http.Request, err error) {
	p := asProblem(err)
	st.server.Events.Add("StreamFailed", string(st.job.Stream), "after %d tokens: %s", len(st.texts), p.Kind)
	if !out.started {
		st.server.fail(out.w, r, p)
		return
	}
	st.server.logFailure(r, p)
	_ = out.failed(p)
}

// writeWhole collects the answer and sends it at once.
func (st *stream) writeWhole(w http.ResponseWriter, r *http.Request, ended chan error, shape ferrystream.Shape) {
	var text strings.Builder
	for t := range st.tokens {
		text.WriteString(t.Text)
		st.timed.wrote(1, st.server.Clock.Now())
	}
	if err := <-ended; err != nil {
		st.server.fail(w, r, asProblem(err))
		return
	}
	composer := ferrystream.NewComposer(ferrystream.ComposerConfig{
		Shape: shape, ID: st.job.Stream, Model: st.job.Service, Created: st.server.Clock.Now(),
	})
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(StreamHeader, string(st.job.Stream))
	prompt := 1 + len(st.job.Prompt)/bytesPerToken
	_, _ = w.Write(composer.Whole(nil, text.String(), st.result.Reason, prompt, len(st.texts)))
}
