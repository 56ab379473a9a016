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
	// messageRing bounds what a job's cancels, waits and moves tell its core; who finds it full waits, or gives up when the job is over.
	messageRing    = 8
	cancelTimeout  = 2 * time.Second
	actionCapacity = 8
)

// Engines is what a Runner needs of engines; *ferryengine.Client has it.
type Engines interface {
	Run(ctx context.Context, req ferryengine.RunRequest) (ferryengine.Stream, error)
	Cancel(ctx context.Context, address string, stream ferryid.StreamID, epoch ferryid.Epoch) (ferryengine.CancelResult, error)
	ExportKV(ctx context.Context, address string, stream ferryid.StreamID) (ferryengine.KV, error)
	ImportKV(ctx context.Context, address string, kv ferryengine.KV) error
}

// Runner runs jobs: it does what their cores decide. Its fields are set before the first job.
type Runner struct {
	Engines Engines
	Picker  Picker
	Clock   clockwork.Clock
	Core    CoreConfig
	// Budget bounds the retries of all jobs; without one there is no bound but each job's own.
	Budget *RetryBudget
	// Log takes the epochs of each job, if set.
	Log *ferryevent.Log
	// Trace sees each message before the core does, if set.
	Trace func(now time.Time, m Message)

	cancels sync.WaitGroup
}

// Wait returns when the cancels of jobs that are over have been sent.
func (r *Runner) Wait() {
	r.cancels.Wait()
}

// Run runs a job to its end and calls emit with each token once and in order; an error is a *ferryoutcome.Problem whose outcome says whether anything ran.
func (r *Runner) Run(ctx context.Context, job Job, emit func(Token) error) (Result, error) {
	if err := job.Check(); err != nil {
		return Result{}, ferryoutcome.New(ferryoutcome.KindBadRequest, ferryoutcome.NotRun, "%v", err)
	}
	s := &session{
		r: r, ctx: ctx, job: &job, emit: emit,
		core: NewCore(&job, r.Core), messages: make(chan Message, messageRing), done: make(chan struct{}),
	}
	s.reading, s.halt = context.WithCancel(ctx)
	defer s.close()
	if r.Budget != nil {
		r.Budget.First()
	}
	if !job.Deadline.IsZero() {
		passed, halt := make(chan struct{}), s.halt
		s.deadline = passed
		t := r.Clock.AfterFunc(job.Deadline.Sub(r.Clock.Now()), func() {
			close(passed)
			halt()
		})
		defer t.Stop()
	}
	return s.loop()
}

// session is one job on its caller's goroutine, which alone owns the core and reads the engine's connection: while a token can't be passed on, none is read.
type session struct {
	r        *Runner
	ctx      context.Context
	job      *Job
	emit     func(Token) error
	core     *Core
	messages chan Message
	soon     []Message
	done     chan struct{}
	gone     <-chan struct{}
	deadline <-chan struct{}
	// reading ends with the caller or the deadline, so that neither waits for a silent engine.
	reading context.Context
	halt    context.CancelFunc
	opening *ferryengine.RunRequest
	stream  ferryengine.Stream
	epoch   ferryid.Epoch
	stop    context.CancelFunc
	// leaving counts the connections that are being closed.
	leaving  sync.WaitGroup
	finished *Finish
}

// close ends the job's goroutines and what is still read.
func (s *session) close() {
	close(s.done)
	s.leave(false)
	go func() {
		s.leaving.Wait()
		s.halt()
	}()
}

func (s *session) loop() (Result, error) {
	actions := make([]Action, 0, actionCapacity)
	s.gone = s.ctx.Done()
	s.soon = append(s.soon, Begin{})
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

// next waits for the core's next message: what is known already, then what others say, then the engine's connection.
func (s *session) next() Message {
	if len(s.soon) > 0 {
		m := s.soon[0]
		s.soon = s.soon[1:]
		return m
	}
	if s.opening == nil && s.stream == nil {
		return s.wait()
	}
	if m := s.interruption(); m != nil {
		return m
	}
	if s.opening != nil {
		if err := s.open(); err != nil {
			return s.broke(err)
		}
	}
	it, err := s.stream.Next()
	if err != nil {
		s.leave(false)
		return s.broke(err)
	}
	if it.Done || it.Failed != nil {
		// A failed epoch's connection is given up: the engine may break it off behind the failure.
		s.leave(it.Done)
	}
	return ItemArrived{Epoch: s.epoch, Item: it}
}

// wait waits for a message of another goroutine, the deadline or the caller's end.
func (s *session) wait() Message {
	select {
	case m := <-s.messages:
		return m
	case <-s.deadline:
		s.deadline = nil
		return DeadlinePassed{}
	case <-s.gone:
		s.gone = nil
		return CallerGone{Err: s.ctx.Err()}
	}
}

// interruption returns what does not wait for the engine, or nil.
func (s *session) interruption() Message {
	if len(s.messages) == 0 && s.reading.Err() == nil {
		return nil
	}
	select {
	case m := <-s.messages:
		return m
	case <-s.deadline:
		s.deadline = nil
		return DeadlinePassed{}
	case <-s.gone:
		s.gone = nil
		return CallerGone{Err: s.ctx.Err()}
	default:
		return nil
	}
}

// broke tells of an epoch's error, after what may have caused it.
func (s *session) broke(err error) Message {
	b := brokeBy(s.epoch, err)
	if m := s.interruption(); m != nil {
		s.soon = append(s.soon, b)
		return m
	}
	return b
}

func (s *session) perform(a Action) {
	switch a := a.(type) {
	case AskPlan:
		s.soon = append(s.soon, s.pick(a))
	case Start:
		s.start(a)
	case MoveKV:
		go s.moveKV(a)
	case Emit:
		if err := s.emit(a.Token); err != nil {
			s.soon = append(s.soon, CallerGone{Err: err})
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
		s.note("StreamFinished", "%d tokens on %d pipelines", a.Result.Tokens, a.Result.Epochs)
	}
}

func (s *session) note(kind, format string, args ...any) {
	if s.r.Log != nil {
		s.r.Log.Add(kind, string(s.job.Stream), format, args...)
	}
}

// post hands a message to the core's goroutine and reports false if the job is over.
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
		if err := s.r.Budget.Retry(); err != nil {
			return NoPlan{Err: err}
		}
	}
	plan, err := s.r.Picker.Pick(s.job, a.Exclude)
	if err != nil {
		return NoPlan{Err: err}
	}
	return Planned{Plan: plan}
}

// start leaves the opening to next, so that what else the core decided does not wait for it.
func (s *session) start(a Start) {
	s.note("EpochStarted", "epoch %d from token %d on %d stages, first %s", a.Request.Epoch, len(a.Request.Generated), len(a.Request.Stages), a.Request.Stages[0].Address)
	s.leave(false)
	s.epoch, s.opening = a.Request.Epoch, &a.Request
}

// open starts the epoch on its first stage.
func (s *session) open() error {
	ctx, stop := context.WithCancel(s.reading)
	req := s.opening
	s.opening = nil
	stream, err := s.r.Engines.Run(ctx, *req)
	if err != nil {
		stop()
		return err
	}
	s.stream, s.stop = stream, stop
	return nil
}

// leave ends the reading of an epoch; after its last item the connection is left to end by itself and is used again.
func (s *session) leave(ended bool) {
	s.opening = nil
	if s.stream == nil {
		return
	}
	stream, stop := s.stream, s.stop
	s.stream, s.stop = nil, nil
	if !ended {
		stop()
	}
	s.leaving.Go(func() {
		defer stop()
		_ = stream.Close()
	})
}

// brokeBy judges an epoch's error: an answer that began proves nothing about layers, so only the upstream's own word and an unwritten call are certain.
func brokeBy(epoch ferryid.Epoch, err error) Broke {
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

// moveKV takes the KV cache of every stage that changes engines from the old one to the new.
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
			s.note("KVNotMoved", "epoch %d: %v", a.Epoch, err)
			ok = false
			break
		}
	}
	s.post(KVMoved{Epoch: a.Epoch, OK: ok})
}

// cancel closes the epoch's connection and tells each of its stages, the first one's answer going to the core.
func (s *session) cancel(a CancelEpoch) {
	s.note("EpochCancelled", "epoch %d", a.Epoch)
	s.leave(false)
	s.r.cancels.Add(len(a.Plan.Stages))
	for i, st := range a.Plan.Stages {
		go func() {
			defer s.r.cancels.Done()
			ctx, stop := context.WithTimeout(context.WithoutCancel(s.ctx), cancelTimeout)
			defer stop()
			answer, err := s.r.Engines.Cancel(ctx, st.Address, s.job.Stream, a.Epoch)
			if i == 0 {
				// Only the incarnation that was asked to run can say that nothing ran.
				same := st.Incarnation != "" && st.Incarnation == answer.Incarnation
				s.post(CancelAnswered{Epoch: a.Epoch, Known: err == nil && (answer.Ran || same), Ran: answer.Ran})
			}
		}()
	}
}
