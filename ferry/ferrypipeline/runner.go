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
	// messageRing is how many items of one job wait for its core; when it is full the engine's connection is not read.
	messageRing    = 64
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
	defer s.close()
	if r.Budget != nil {
		r.Budget.First()
	}
	if !job.Deadline.IsZero() {
		t := r.Clock.NewTimer(job.Deadline.Sub(r.Clock.Now()))
		defer t.Stop()
		s.deadline = t.Chan()
	}
	return s.loop()
}

// session is one job on its caller's goroutine, which alone owns the core.
type session struct {
	r        *Runner
	ctx      context.Context
	job      *Job
	emit     func(Token) error
	core     *Core
	messages chan Message
	soon     []Message
	done     chan struct{}
	deadline <-chan time.Time
	stop     context.CancelFunc
	finished *Finish
}

// close ends the job's goroutines; after a whole answer the reader ends by itself and its connection is used again.
func (s *session) close() {
	close(s.done)
	if s.stop != nil && (s.finished == nil || s.finished.Err != nil) {
		s.stop()
	}
}

func (s *session) loop() (Result, error) {
	actions := make([]Action, 0, actionCapacity)
	gone := s.ctx.Done()
	s.soon = append(s.soon, Begin{})
	for {
		var m Message
		if len(s.soon) > 0 {
			m = s.soon[0]
			s.soon = s.soon[1:]
		} else {
			select {
			case m = <-s.messages:
			case <-s.deadline:
				m, s.deadline = DeadlinePassed{}, nil
			case <-gone:
				m, gone = CallerGone{Err: s.ctx.Err()}, nil
			}
		}
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

func (s *session) start(a Start) {
	s.note("EpochStarted", "epoch %d from token %d on %d stages, first %s", a.Request.Epoch, len(a.Request.Generated), len(a.Request.Stages), a.Request.Stages[0].Address)
	ctx, stop := context.WithCancel(s.ctx)
	s.stop = stop
	go func() {
		defer stop()
		s.read(ctx, a.Request)
	}()
}

// read runs one epoch and posts its items.
func (s *session) read(ctx context.Context, req ferryengine.RunRequest) {
	stream, err := s.r.Engines.Run(ctx, req)
	if err != nil {
		s.post(brokeBy(req.Epoch, err))
		return
	}
	defer stream.Close()
	for {
		it, err := stream.Next()
		if err != nil {
			s.post(brokeBy(req.Epoch, err))
			return
		}
		if !s.post(ItemArrived{Epoch: req.Epoch, Item: it}) || it.Done || it.Failed != nil {
			return
		}
	}
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
	if s.stop != nil {
		s.stop()
	}
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
