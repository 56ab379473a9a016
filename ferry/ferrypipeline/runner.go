package ferrypipeline

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"cactusferry.dev/ferry/ferryengine"
	"cactusferry.dev/ferry/ferryevent"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
)

const (
	// messageBuffer is the buffer size for messages of a job's cancels, waits and KV moves. Senders block
	// while it is full, until the job ends.
	messageBuffer  = 8
	cancelTimeout  = 2 * time.Second
	actionCapacity = 8
)

// Engines is the part of *ferryengine.Client that a Runner uses.
type Engines interface {
	Run(ctx context.Context, req ferryengine.RunRequest) (ferryengine.Stream, error)
	Cancel(ctx context.Context, address string, stream ferryid.StreamID, epoch ferryid.Epoch) (ferryengine.CancelResult, error)
	ExportKV(ctx context.Context, address string, stream ferryid.StreamID) (ferryengine.KV, error)
	ImportKV(ctx context.Context, address string, kv ferryengine.KV) error
}

// Runner runs jobs by performing the actions of their cores. Its fields must not change after the first job
// starts.
type Runner struct {
	Engines Engines
	Picker  Picker
	Clock   clockwork.Clock
	Core    CoreConfig
	// Budget limits the retries of all jobs together; if nil, only the limits of each job apply.
	Budget *RetryBudget
	// Log receives events of each job's epochs, if set.
	Log *ferryevent.Log
	// Trace is called with each message before the core processes it, if set.
	Trace func(now time.Time, m Message)

	cancels sync.WaitGroup
}

// Wait blocks until the cancels of finished jobs have been sent.
func (r *Runner) Wait() {
	r.cancels.Wait()
}

// Run runs a job to its end and calls emit with each token once and in order. An error is a
// *ferryoutcome.Problem, whose outcome tells whether anything ran.
func (r *Runner) Run(ctx context.Context, job Job, emit func(Token) error) (Result, error) {
	if err := job.Check(); err != nil {
		return Result{}, ferryoutcome.New(ferryoutcome.KindBadRequest, ferryoutcome.NotRun, "%v", err)
	}
	s := &session{
		r: r, ctx: ctx, job: &job, emit: emit,
		core: NewCore(&job, r.Core), messages: make(chan Message, messageBuffer), done: make(chan struct{}),
	}
	s.readCtx, s.stopReading = context.WithCancel(ctx)
	defer s.close()
	if r.Budget != nil {
		r.Budget.AddFirstTry()
	}
	if !job.Deadline.IsZero() {
		passed, halt := make(chan struct{}), s.stopReading
		s.deadline = passed
		t := r.Clock.AfterFunc(job.Deadline.Sub(r.Clock.Now()), func() {
			close(passed)
			halt()
		})
		defer t.Stop()
	}
	return s.loop()
}

// session is a running job. The goroutine of the caller owns the core and reads the engine's connection, so
// that a blocked emit stops the reading and back pressure reaches the engine.
type session struct {
	r          *Runner
	ctx        context.Context
	job        *Job
	emit       func(Token) error
	core       *Core
	messages   chan Message
	pending    []Message
	done       chan struct{}
	callerDone <-chan struct{}
	deadline   <-chan struct{}
	// readCtx is cancelled by the caller's end or the deadline, so that neither waits for a silent engine.
	readCtx     context.Context
	stopReading context.CancelFunc
	toStart     *ferryengine.RunRequest
	stream      ferryengine.Stream
	epoch       ferryid.Epoch
	cancelRun   context.CancelFunc
	// closing counts the connections that are being closed.
	closing  sync.WaitGroup
	finished *Finish
}

// close ends the job's goroutines and connections.
func (s *session) close() {
	close(s.done)
	s.closeStream(false)
	go func() {
		s.closing.Wait()
		s.stopReading()
	}()
}

func (s *session) loop() (Result, error) {
	actions := make([]Action, 0, actionCapacity)
	s.callerDone = s.ctx.Done()
	s.pending = append(s.pending, Begin{})
	for {
		m := s.next()
		now := s.r.Clock.Now()
		if s.r.Trace != nil {
			s.r.Trace(now, m)
		}
		actions = s.core.Step(m, now, actions[:0])
		for _, a := range actions {
			s.perform(a)
		}
		if s.finished != nil {
			return s.finished.Result, s.finished.Err
		}
	}
}

// next returns the next message for the core: a pending one first, then one from another goroutine, then one
// from the engine's connection.
func (s *session) next() Message {
	if len(s.pending) > 0 {
		m := s.pending[0]
		s.pending = s.pending[1:]
		return m
	}
	if s.toStart == nil && s.stream == nil {
		return s.wait()
	}
	if m := s.pollMessage(); m != nil {
		return m
	}
	if s.toStart != nil {
		if err := s.open(); err != nil {
			return s.brokeMessage(err)
		}
	}
	it, err := s.stream.Next()
	if err != nil {
		s.closeStream(false)
		return s.brokeMessage(err)
	}
	if it.Done || it.Failed != nil {
		// The connection of a failed epoch is not reused, as the engine may close it after the failure.
		s.closeStream(it.Done)
	}
	return ItemArrived{Epoch: s.epoch, Item: it}
}

// wait blocks until a message from another goroutine, the deadline or the caller's end.
func (s *session) wait() Message {
	select {
	case m := <-s.messages:
		return m
	case <-s.deadline:
		s.deadline = nil
		return DeadlinePassed{}
	case <-s.callerDone:
		s.callerDone = nil
		return CallerGone{Err: s.ctx.Err()}
	}
}

// pollMessage returns a message that is available without reading the connection, or nil.
func (s *session) pollMessage() Message {
	if len(s.messages) == 0 && s.readCtx.Err() == nil {
		return nil
	}
	select {
	case m := <-s.messages:
		return m
	case <-s.deadline:
		s.deadline = nil
		return DeadlinePassed{}
	case <-s.callerDone:
		s.callerDone = nil
		return CallerGone{Err: s.ctx.Err()}
	default:
		return nil
	}
}

// brokeMessage returns the message for an epoch's error. A deadline or a caller's end that may have caused
// the error is returned before it.
func (s *session) brokeMessage(err error) Message {
	b := classifyError(s.epoch, err)
	if m := s.pollMessage(); m != nil {
		s.pending = append(s.pending, b)
		return m
	}
	return b
}

func (s *session) perform(a Action) {
	switch a := a.(type) {
	case AskPlan:
		s.pending = append(s.pending, s.pick(a))
	case Start:
		s.start(a)
	case MoveKV:
		go s.moveKV(a)
	case Emit:
		if err := s.emit(a.Token); err != nil {
			s.pending = append(s.pending, CallerGone{Err: err})
		}
	case CancelEpoch:
		s.cancel(a)
	case Release:
		s.r.Picker.Done(a.Plan, a.Tokens)
		if o, ok := s.r.Picker.(Observer); ok && len(a.Times) > 0 {
			o.Observe(a.Plan, a.Times)
		}
	case Wait:
		s.r.Clock.AfterFunc(a.Delay, func() { s.post(Woke{}) })
	case Finish:
		s.finished = &a
		s.logEvent("StreamFinished", "%d tokens on %d pipelines", a.Result.Tokens, a.Result.Epochs)
	}
}

func (s *session) logEvent(kind, format string, args ...any) {
	if s.r.Log != nil {
		s.r.Log.Add(kind, string(s.job.Stream), format, args...)
	}
}

// post sends a message to the core's goroutine; it returns false if the job has ended.
func (s *session) post(m Message) bool {
	select {
	case s.messages <- m:
		return true
	case <-s.done:
		return false
	}
}

func (s *session) pick(a AskPlan) Message {
	if a.Retry && s.r.Budget != nil {
		if err := s.r.Budget.TakeRetry(); err != nil {
			return NoPlan{Err: err}
		}
	}
	plan, err := s.r.Picker.Pick(s.job, a.Exclude)
	if err != nil {
		return NoPlan{Err: err}
	}
	return Planned{Plan: plan}
}

// start leaves opening the connection to next, so that the core's other actions do not wait for it.
func (s *session) start(a Start) {
	s.logEvent("EpochStarted", "epoch %d from token %d on %d stages, first %s", a.Request.Epoch, len(a.Request.Generated), len(a.Request.Stages), a.Request.Stages[0].Address)
	s.closeStream(false)
	s.epoch, s.toStart = a.Request.Epoch, &a.Request
}

// open sends the run request of the epoch to its first stage.
func (s *session) open() error {
	ctx, stop := context.WithCancel(s.readCtx)
	req := s.toStart
	s.toStart = nil
	stream, err := s.r.Engines.Run(ctx, *req)
	if err != nil {
		stop()
		return err
	}
	s.stream, s.cancelRun = stream, stop
	return nil
}

// closeStream stops reading an epoch. If its last item was read, the connection is left to finish and is
// reused; otherwise the request is cancelled.
func (s *session) closeStream(ended bool) {
	s.toStart = nil
	if s.stream == nil {
		return
	}
	stream, stop := s.stream, s.cancelRun
	s.stream, s.cancelRun = nil, nil
	if !ended {
		stop()
	}
	s.closing.Go(func() {
		defer stop()
		_ = stream.Close()
	})
}

// classifyError returns the Broke message for an epoch's error. The outcome is NotRun only if the upstream
// refused the request itself or the request was never written; an answer that began does not tell whether a
// layer ran.
func classifyError(epoch ferryid.Epoch, err error) Broke {
	b := Broke{Epoch: epoch, Outcome: ferryoutcome.Unknown, Err: err}
	var refused *ferryengine.RefusedError
	var dispatch *ferryengine.DispatchError
	switch {
	case errors.As(err, &refused):
		b.Outcome, b.Refused = ferryoutcome.NotRun, refused.Kind
	case errors.As(err, &dispatch) && dispatch.Phase == ferryoutcome.PhaseNotConnected:
		b.Outcome = ferryoutcome.NotRun
	}
	return b
}

// moveKV transfers the KV cache of every stage whose engine changes.
func (s *session) moveKV(a MoveKV) {
	ok := true
	for i := range a.To.Stages {
		from, to := &a.From.Stages[i], &a.To.Stages[i]
		if from.Address == to.Address && from.Incarnation == to.Incarnation {
			continue
		}
		kv, err := s.r.Engines.ExportKV(s.ctx, from.Address, s.job.Stream)
		if err == nil {
			err = s.r.Engines.ImportKV(s.ctx, to.Address, kv)
		}
		if err != nil {
			s.logEvent("KVNotMoved", "epoch %d: %v", a.Epoch, err)
			ok = false
			break
		}
	}
	s.post(KVMoved{Epoch: a.Epoch, OK: ok})
}

// cancel closes the epoch's connection, sends a cancel to each stage and posts the first stage's
// answer to the core.
func (s *session) cancel(a CancelEpoch) {
	s.logEvent("EpochCancelled", "epoch %d", a.Epoch)
	s.closeStream(false)
	s.r.cancels.Add(len(a.Plan.Stages))
	for i, st := range a.Plan.Stages {
		go func() {
			defer s.r.cancels.Done()
			ctx, stop := context.WithTimeout(context.WithoutCancel(s.ctx), cancelTimeout)
			defer stop()
			answer, err := s.r.Engines.Cancel(ctx, st.Address, s.job.Stream, a.Epoch)
			if i == 0 {
				// Only the incarnation that got the run request can report that nothing ran.
				same := st.Incarnation != "" && st.Incarnation == answer.Incarnation
				s.post(CancelAnswered{Epoch: a.Epoch, Known: err == nil && (answer.Ran || same), Ran: answer.Ran})
			}
		}()
	}
}
