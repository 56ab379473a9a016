package ferrypipeline

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"cactusferry.dev/ferry/ferryengine"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
)

const (
	defaultMaxEpochs   = 32
	defaultMaxFailures = 16
	defaultMaxWaits    = 40
	defaultImportFrom  = 256
	waitStep           = 50 * time.Millisecond
	maxWait            = 500 * time.Millisecond
	retryAfter         = time.Second
	// firstTokens is the room for tokens that a job begins with.
	firstTokens = 128
)

// CoreConfig bounds what a job may cost; zero values choose the defaults.
type CoreConfig struct {
	// MaxEpochs is the number of pipelines that one job may run on.
	MaxEpochs int
	// MaxFailures is the number of epochs without a token, one after another, that end the job.
	MaxFailures int
	// MaxWaits is the number of waits for engines to come back, once something of the job may have run.
	MaxWaits int
	// ImportFrom is the number of tokens from which a KV cache is moved and not rebuilt.
	ImportFrom int
}

func (cfg *CoreConfig) setDefaults() {
	if cfg.MaxEpochs <= 0 {
		cfg.MaxEpochs = defaultMaxEpochs
	}
	if cfg.MaxFailures <= 0 {
		cfg.MaxFailures = defaultMaxFailures
	}
	if cfg.MaxWaits <= 0 {
		cfg.MaxWaits = defaultMaxWaits
	}
	if cfg.ImportFrom <= 0 {
		cfg.ImportFrom = defaultImportFrom
	}
}

type phase int

const (
	phasePlanning phase = iota
	phaseMoving
	phaseRunning
	phaseWaiting
	phaseSettling
	phaseFinished
)

// Core decides over one job: it takes messages in turn and gives actions, and does no I/O.
type Core struct {
	cfg       CoreConfig
	job       *Job
	phase     phase
	epoch     ferryid.Epoch
	plan      Plan
	previous  Plan
	movable   bool
	noImport  bool
	withKV    bool
	generated []string
	ready     bool
	accepted  int
	// drained says that the present epoch was refused by an engine that is leaving, which is no fault and not charged as a retry.
	drained  bool
	failures int
	waits    int
	exclude  []ferryid.UpstreamName
	evidence evidence
	result   Result
	err      *ferryoutcome.Problem
}

// NewCore returns the core of one job.
func NewCore(job *Job, cfg CoreConfig) *Core {
	cfg.setDefaults()
	return &Core{
		cfg: cfg, job: job, epoch: job.Epoch,
		generated: append(make([]string, 0, max(min(job.MaxTokens, firstTokens), len(job.Resume))), job.Resume...),
		evidence:  evidence{maybe: map[ferryid.Epoch]bool{}, asked: map[ferryid.Epoch]bool{}},
	}
}

// Step takes a message and appends the actions that follow from it.
func (c *Core) Step(m Message, now time.Time, out []Action) []Action {
	if c.phase == phaseFinished {
		return out
	}
	if answer, ok := m.(CancelAnswered); ok {
		c.evidence.settle(answer)
		return c.trySettle(out)
	}
	if c.phase == phaseSettling {
		return out
	}
	switch m := m.(type) {
	case Begin:
		return c.ask(false, out)
	case Planned:
		return c.planned(m.Plan, out)
	case NoPlan:
		return c.noPlan(m.Err, out)
	case KVMoved:
		return c.moved(m, out)
	case ItemArrived:
		return c.arrived(m, now, out)
	case Broke:
		return c.broke(m, now, out)
	case Woke:
		return c.woke(out)
	case DeadlinePassed:
		return c.stop(ferryoutcome.New(ferryoutcome.KindTimeout, "", "the deadline passed after %d tokens", c.result.Tokens), out)
	case CallerGone:
		return c.stop(ferryoutcome.New(ferryoutcome.KindTimeout, "", "the caller went away").Because(m.Err), out)
	}
	return out
}

func (c *Core) ask(retry bool, out []Action) []Action {
	c.phase = phasePlanning
	return append(out, AskPlan{Exclude: slices.Clone(c.exclude), Retry: retry})
}

func (c *Core) planned(plan Plan, out []Action) []Action {
	if c.phase != phasePlanning {
		return append(out, Release{Plan: plan})
	}
	if err := plan.Check(); err != nil {
		out = append(out, Release{Plan: plan})
		return c.finish(ferryoutcome.New(ferryoutcome.KindUnavailable, "", "%v", err), out)
	}
	c.epoch++
	c.plan = plan
	if c.wantsImport() {
		c.phase = phaseMoving
		return append(out, MoveKV{Epoch: c.epoch, From: c.previous, To: plan})
	}
	return c.start(false, out)
}

// wantsImport reports whether it may pay to take the KV cache along: the stages must match and none may be known to have lost it.
func (c *Core) wantsImport() bool {
	if c.noImport || !c.movable || len(c.generated) < c.cfg.ImportFrom || len(c.plan.Stages) != len(c.previous.Stages) {
		return false
	}
	for i := range c.plan.Stages {
		if c.plan.Stages[i].Layers != c.previous.Stages[i].Layers {
			return false
		}
	}
	return true
}

func (c *Core) moved(m KVMoved, out []Action) []Action {
	if c.phase != phaseMoving || m.Epoch != c.epoch {
		return out
	}
	return c.start(m.OK, out)
}

func (c *Core) start(withKV bool, out []Action) []Action {
	c.phase = phaseRunning
	c.ready = false
	c.withKV = withKV
	c.accepted = 0
	c.drained = false
	c.result.Epochs++
	if withKV {
		c.result.Imported++
	}
	stages, incarnations := c.plan.wire()
	return append(out, Start{Request: ferryengine.RunRequest{
		Stream: c.job.Stream, Epoch: c.epoch, Incarnations: incarnations, Stages: stages,
		Prompt: c.job.Prompt, Generated: slices.Clone(c.generated), MaxTokens: c.job.MaxTokens,
		Seed: c.job.Seed, Priority: c.job.Priority, Import: withKV,
	}})
}

// noPlan ends a job of which certainly nothing ran, and waits with one that has begun.
func (c *Core) noPlan(err error, out []Action) []Action {
	if c.phase != phasePlanning {
		return out
	}
	var spent *BudgetError
	known, _ := c.evidence.outcome()
	unbegun := len(c.generated) == 0 && known == ferryoutcome.NotRun
	if unbegun || c.waits >= c.cfg.MaxWaits || errors.As(err, &spent) {
		p := ferryoutcome.New(ferryoutcome.KindUnavailable, "", "no engines are free to run this: %v", err)
		return c.finish(p.After(retryAfter).Because(err), out)
	}
	c.waits++
	c.phase = phaseWaiting
	return append(out, Wait{Delay: min(maxWait, time.Duration(c.waits)*waitStep)})
}

func (c *Core) woke(out []Action) []Action {
	if c.phase != phaseWaiting {
		return out
	}
	c.exclude = nil
	return c.ask(false, out)
}

func (c *Core) arrived(m ItemArrived, now time.Time, out []Action) []Action {
	it := &m.Item
	if c.phase != phaseRunning || m.Epoch != c.epoch || it.Epoch < c.epoch {
		c.result.Late++
		return out
	}
	switch {
	case it.Epoch > c.epoch:
		return c.bad(fmt.Errorf("item of epoch %d in epoch %d", it.Epoch, c.epoch), now, out)
	case it.Ready:
		c.ready = true
		return out
	case it.Failed != nil:
		return c.failed(it.Failed, now, out)
	case it.Done:
		return c.done(it, now, out)
	}
	return c.token(it, now, out)
}

func (c *Core) token(it *ferryengine.Item, now time.Time, out []Action) []Action {
	next := ferryid.Position(len(c.generated))
	switch {
	case it.Position < next && c.generated[it.Position] == it.Text:
		c.result.Duplicates++
		return out
	case it.Position != next:
		return c.bad(fmt.Errorf("token %d where %d is due", it.Position, next), now, out)
	case int(next) >= c.job.MaxTokens:
		return c.bad(fmt.Errorf("token %d of %d", it.Position, c.job.MaxTokens), now, out)
	}
	if err := checkReceipts(c.plan.Stages, it.Receipts); err != nil {
		return c.bad(err, now, out)
	}
	c.generated = append(c.generated, it.Text)
	c.evidence.ran = true
	c.accepted++
	c.result.Tokens++
	c.failures, c.waits = 0, 0
	return append(out, Emit{Token: Token{Position: it.Position, Epoch: c.epoch, Text: it.Text}})
}

func (c *Core) done(it *ferryengine.Item, now time.Time, out []Action) []Action {
	if it.Reason != "stop" && len(c.generated) < c.job.MaxTokens {
		return c.bad(fmt.Errorf("the answer ended at token %d of %d", len(c.generated), c.job.MaxTokens), now, out)
	}
	c.result.Reason = it.Reason
	c.phase = phaseFinished
	out = append(out, Release{Plan: c.plan, Tokens: ferryid.Tokens(c.accepted), Times: it.Times})
	return append(out, Finish{Result: c.result})
}

// bad ends an epoch whose items can't be right; the first stage, which sends them, is blamed.
func (c *Core) bad(err error, now time.Time, out []Action) []Action {
	c.movable = false
	return c.end(ferryoutcome.Ran, c.plan.Stages[0].Address, err, now, out)
}

func (c *Core) failed(f *ferryengine.Failure, now time.Time, out []Action) []Action {
	known := ferryoutcome.NotRun
	if c.ready {
		known = ferryoutcome.Unknown
	}
	blame := f.Stage
	emptied := f.Kind == ferryengine.FailureEmpty
	c.drained = f.Kind == ferryengine.FailureDraining
	if emptied && c.withKV && c.accepted == 0 {
		blame = ""
	}
	c.noImport = c.noImport || emptied
	c.movable = !emptied
	return c.end(known, blame, &StageError{Failure: *f}, now, out)
}

func (c *Core) broke(m Broke, now time.Time, out []Action) []Action {
	if c.phase != phaseRunning || m.Epoch != c.epoch {
		return out
	}
	if len(c.generated) >= c.job.MaxTokens {
		return c.done(&ferryengine.Item{Done: true, Reason: "length"}, now, out)
	}
	var silent *ferryengine.SilentError
	c.movable = !errors.As(m.Err, &silent)
	c.drained = m.Refused == ferryoutcome.KindDraining
	blame := c.plan.Stages[0].Address
	if m.Refused == ferryoutcome.KindConflict {
		// Another entry ran this stream at higher epochs: go above them.
		c.epoch += c.epoch
		blame = ""
	}
	return c.end(m.Outcome, blame, m.Err, now, out)
}

// end closes the epoch and begins the next, if the job's bounds allow it.
func (c *Core) end(known ferryoutcome.Outcome, blame string, err error, now time.Time, out []Action) []Action {
	out = c.close(known, out)
	if c.accepted == 0 {
		c.failures++
	}
	if i := c.plan.stage(blame); i >= 0 {
		c.exclude = append(c.exclude, c.plan.Stages[i].Name)
	}
	late := !c.job.Deadline.IsZero() && !now.Before(c.job.Deadline)
	if late || c.failures >= c.cfg.MaxFailures || c.result.Epochs >= c.cfg.MaxEpochs {
		p := ferryoutcome.New(ferryoutcome.KindUpstreamFailed, "", "the engines failed after %d tokens, on %d pipelines", c.result.Tokens, c.result.Epochs)
		return c.finish(p.Because(err), out)
	}
	return c.ask(c.accepted == 0 && !c.drained, out)
}

// close gives the plan back and, unless nothing of the epoch ran, cancels it.
func (c *Core) close(known ferryoutcome.Outcome, out []Action) []Action {
	c.previous = c.plan
	out = append(out, Release{Plan: c.plan, Tokens: ferryid.Tokens(c.accepted)})
	if known == ferryoutcome.NotRun {
		return out
	}
	c.evidence.uncertain(c.epoch, known)
	return append(out, CancelEpoch{Epoch: c.epoch, Plan: c.plan})
}

// stop ends the job from outside.
func (c *Core) stop(p *ferryoutcome.Problem, out []Action) []Action {
	switch c.phase {
	case phaseRunning:
		out = c.close(ferryoutcome.Unknown, out)
	case phaseMoving:
		out = append(out, Release{Plan: c.plan})
	}
	return c.finish(p, out)
}

func (c *Core) finish(p *ferryoutcome.Problem, out []Action) []Action {
	c.err = p
	c.phase = phaseSettling
	return c.trySettle(out)
}

// trySettle ends a failed job once its outcome is as well known as it can be.
func (c *Core) trySettle(out []Action) []Action {
	if c.phase != phaseSettling {
		return out
	}
	known, final := c.evidence.outcome()
	if !final {
		return out
	}
	c.phase = phaseFinished
	c.err.Outcome = known
	return append(out, Finish{Result: c.result, Err: c.err})
}
