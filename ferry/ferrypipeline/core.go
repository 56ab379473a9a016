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
	// initialTokenCapacity is the initial capacity for generated tokens.
	initialTokenCapacity = 128
)

// CoreConfig holds the limits of a job; zero values select the defaults.
type CoreConfig struct {
	// MaxEpochs is the maximum number of pipelines that a job is started on.
	MaxEpochs int
	// MaxFailures is the number of consecutive epochs without a token after which the job fails.
	MaxFailures int
	// MaxWaits is the maximum number of consecutive waits for engines, once any part of the job may have run.
	MaxWaits int
	// ImportFrom is the number of generated tokens from which the KV cache is moved instead of rebuilt by
	// prefill.
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
	phaseMovingKV
	phaseRunning
	phaseWaiting
	phaseAwaitingCancels
	phaseFinished
)

// Core is the state machine of one job: it turns messages into actions and does no I/O.
type Core struct {
	cfg   CoreConfig
	job   *Job
	phase phase
	epoch ferryid.Epoch
	plan  Plan
	// previous is the plan of the last closed epoch; kvMovable is set if its stages may have kept the KV cache.
	previous  Plan
	kvMovable bool
	// importDisabled is set once a stage reported that it lost the KV cache.
	importDisabled bool
	// withKV is set if the current epoch was started from a moved KV cache, ready once its start was received.
	withKV      bool
	generated   []string
	ready       bool
	epochTokens int
	// refusedByDraining is set if a draining engine refused the current epoch; the next epoch is then not
	// charged as a retry.
	refusedByDraining bool
	failures          int
	waits             int
	exclude           []ferryid.UpstreamName
	evidence          evidence
	result            Result
	err               *ferryoutcome.Problem
}

// NewCore returns the core of one job.
func NewCore(job *Job, cfg CoreConfig) *Core {
	cfg.setDefaults()
	return &Core{
		cfg: cfg, job: job, epoch: job.Epoch,
		generated: append(make([]string, 0, max(min(job.MaxTokens, initialTokenCapacity), len(job.Resume))), job.Resume...),
		evidence:  evidence{unknownEpochs: map[ferryid.Epoch]bool{}, pendingCancels: map[ferryid.Epoch]bool{}},
	}
}

// Step processes a message and appends the resulting actions to out.
func (c *Core) Step(m Message, now time.Time, out []Action) []Action {
	if c.phase == phaseFinished {
		return out
	}
	if answer, ok := m.(CancelAnswered); ok {
		c.evidence.recordAnswer(answer)
		return c.tryFinish(out)
	}
	if c.phase == phaseAwaitingCancels {
		return out
	}
	switch m := m.(type) {
	case Begin:
		return c.requestPlan(false, out)
	case Planned:
		return c.onPlanned(m.Plan, out)
	case NoPlan:
		return c.onNoPlan(m.Err, out)
	case KVMoved:
		return c.onKVMoved(m, out)
	case ItemArrived:
		return c.onItem(m, now, out)
	case Broke:
		return c.onBroke(m, now, out)
	case Woke:
		return c.onWoke(out)
	case DeadlinePassed:
		return c.abort(ferryoutcome.New(ferryoutcome.KindTimeout, "", "the deadline passed after %d tokens", c.result.Tokens), out)
	case CallerGone:
		return c.abort(ferryoutcome.New(ferryoutcome.KindTimeout, "", "the caller went away").WithCause(m.Err), out)
	}
	return out
}

func (c *Core) requestPlan(retry bool, out []Action) []Action {
	c.phase = phasePlanning
	return append(out, AskPlan{Exclude: slices.Clone(c.exclude), Retry: retry})
}

func (c *Core) onPlanned(plan Plan, out []Action) []Action {
	if c.phase != phasePlanning {
		return append(out, Release{Plan: plan})
	}
	if err := plan.Check(); err != nil {
		out = append(out, Release{Plan: plan})
		return c.fail(ferryoutcome.New(ferryoutcome.KindUnavailable, "", "%v", err), out)
	}
	c.epoch++
	c.plan = plan
	if c.wantsImport() {
		c.phase = phaseMovingKV
		return append(out, MoveKV{Epoch: c.epoch, From: c.previous, To: plan})
	}
	return c.start(false, out)
}

// wantsImport reports whether to move the KV cache to the new plan: enough tokens were generated, the layers
// of the stages match, and no stage is known to have lost the cache.
func (c *Core) wantsImport() bool {
	if c.importDisabled || !c.kvMovable || len(c.generated) < c.cfg.ImportFrom || len(c.plan.Stages) != len(c.previous.Stages) {
		return false
	}
	for i := range c.plan.Stages {
		if c.plan.Stages[i].Layers != c.previous.Stages[i].Layers {
			return false
		}
	}
	return true
}

func (c *Core) onKVMoved(m KVMoved, out []Action) []Action {
	if c.phase != phaseMovingKV || m.Epoch != c.epoch {
		return out
	}
	return c.start(m.OK, out)
}

func (c *Core) start(withKV bool, out []Action) []Action {
	c.phase = phaseRunning
	c.ready = false
	c.withKV = withKV
	c.epochTokens = 0
	c.refusedByDraining = false
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

// onNoPlan fails a job if it is certain that nothing of it ran. A job that may have run waits for engines, unless
// MaxWaits or the retry budget is used up.
func (c *Core) onNoPlan(err error, out []Action) []Action {
	if c.phase != phasePlanning {
		return out
	}
	var spent *BudgetError
	known, _ := c.evidence.outcome()
	notStarted := len(c.generated) == 0 && known == ferryoutcome.NotRun
	if notStarted || c.waits >= c.cfg.MaxWaits || errors.As(err, &spent) {
		p := ferryoutcome.New(ferryoutcome.KindUnavailable, "", "no engines are free to run this: %v", err)
		return c.fail(p.WithRetryAfter(retryAfter).WithCause(err), out)
	}
	c.waits++
	c.phase = phaseWaiting
	return append(out, Wait{Delay: min(maxWait, time.Duration(c.waits)*waitStep)})
}

func (c *Core) onWoke(out []Action) []Action {
	if c.phase != phaseWaiting {
		return out
	}
	c.exclude = nil
	return c.requestPlan(false, out)
}

func (c *Core) onItem(m ItemArrived, now time.Time, out []Action) []Action {
	it := &m.Item
	if c.phase != phaseRunning || m.Epoch != c.epoch || it.Epoch < c.epoch {
		c.result.Late++
		return out
	}
	switch {
	case it.Epoch > c.epoch:
		return c.onInvalidItem(fmt.Errorf("received an item of epoch %d in epoch %d", it.Epoch, c.epoch), now, out)
	case it.Ready:
		c.ready = true
		return out
	case it.Failed != nil:
		return c.onStageFailed(it.Failed, now, out)
	case it.Done:
		return c.onDone(it, now, out)
	}
	return c.onToken(it, now, out)
}

func (c *Core) onToken(it *ferryengine.Item, now time.Time, out []Action) []Action {
	next := ferryid.Position(len(c.generated))
	switch {
	case it.Position < next && c.generated[it.Position] == it.Text:
		c.result.Duplicates++
		return out
	case it.Position != next:
		return c.onInvalidItem(fmt.Errorf("received token %d, want token %d", it.Position, next), now, out)
	case int(next) >= c.job.MaxTokens:
		return c.onInvalidItem(fmt.Errorf("received token %d, above the maximum of %d tokens", it.Position, c.job.MaxTokens), now, out)
	}
	if err := checkReceipts(c.plan.Stages, it.Receipts); err != nil {
		return c.onInvalidItem(err, now, out)
	}
	c.generated = append(c.generated, it.Text)
	c.evidence.ran = true
	c.epochTokens++
	c.result.Tokens++
	c.failures, c.waits = 0, 0
	return append(out, Emit{Token: Token{Position: it.Position, Epoch: c.epoch, Text: it.Text}})
}

func (c *Core) onDone(it *ferryengine.Item, now time.Time, out []Action) []Action {
	if it.Reason != "stop" && len(c.generated) < c.job.MaxTokens {
		return c.onInvalidItem(fmt.Errorf("answer truncated: got %d of %d tokens", len(c.generated), c.job.MaxTokens), now, out)
	}
	c.result.Reason = it.Reason
	c.phase = phaseFinished
	out = append(out, Release{Plan: c.plan, Tokens: ferryid.Tokens(c.epochTokens), Times: it.Times})
	return append(out, Finish{Result: c.result})
}

// onInvalidItem ends an epoch after an invalid item and excludes the first stage, which sent it.
func (c *Core) onInvalidItem(err error, now time.Time, out []Action) []Action {
	c.kvMovable = false
	return c.endEpoch(ferryoutcome.Ran, c.plan.Stages[0].Address, err, now, out)
}

func (c *Core) onStageFailed(f *ferryengine.Failure, now time.Time, out []Action) []Action {
	known := ferryoutcome.NotRun
	if c.ready {
		known = ferryoutcome.Unknown
	}
	faultyStage := f.Stage
	cacheLost := f.Kind == ferryengine.FailureEmpty
	c.refusedByDraining = f.Kind == ferryengine.FailureDraining
	if cacheLost && c.withKV && c.epochTokens == 0 {
		faultyStage = ""
	}
	c.importDisabled = c.importDisabled || cacheLost
	c.kvMovable = !cacheLost
	return c.endEpoch(known, faultyStage, &StageError{Failure: *f}, now, out)
}

func (c *Core) onBroke(m Broke, now time.Time, out []Action) []Action {
	if c.phase != phaseRunning || m.Epoch != c.epoch {
		return out
	}
	if len(c.generated) >= c.job.MaxTokens {
		return c.onDone(&ferryengine.Item{Done: true, Reason: "length"}, now, out)
	}
	var idle *ferryengine.IdleTimeoutError
	c.kvMovable = !errors.As(m.Err, &idle)
	c.refusedByDraining = m.Refused == ferryoutcome.KindDraining
	faultyStage := c.plan.Stages[0].Address
	if m.Refused == ferryoutcome.KindConflict {
		// Another entry ran this stream at higher epochs; doubling the epoch soon exceeds them.
		c.epoch += c.epoch
		faultyStage = ""
	}
	return c.endEpoch(m.Outcome, faultyStage, m.Err, now, out)
}

// endEpoch closes the epoch and requests a plan for the next one, or fails the job if its limits are reached.
func (c *Core) endEpoch(known ferryoutcome.Outcome, faultyStage string, err error, now time.Time, out []Action) []Action {
	out = c.close(known, out)
	if c.epochTokens == 0 {
		c.failures++
	}
	if i := c.plan.stage(faultyStage); i >= 0 {
		c.exclude = append(c.exclude, c.plan.Stages[i].Name)
	}
	expired := !c.job.Deadline.IsZero() && !now.Before(c.job.Deadline)
	if expired || c.failures >= c.cfg.MaxFailures || c.result.Epochs >= c.cfg.MaxEpochs {
		p := ferryoutcome.New(ferryoutcome.KindUpstreamFailed, "", "the engines failed after %d tokens, on %d pipelines", c.result.Tokens, c.result.Epochs)
		return c.fail(p.WithCause(err), out)
	}
	return c.requestPlan(c.epochTokens == 0 && !c.refusedByDraining, out)
}

// close releases the plan and cancels the epoch unless nothing of it ran.
func (c *Core) close(known ferryoutcome.Outcome, out []Action) []Action {
	c.previous = c.plan
	out = append(out, Release{Plan: c.plan, Tokens: ferryid.Tokens(c.epochTokens)})
	if known == ferryoutcome.NotRun {
		return out
	}
	c.evidence.addCancelled(c.epoch, known)
	return append(out, CancelEpoch{Epoch: c.epoch, Plan: c.plan})
}

// abort ends the job because of its deadline or its caller.
func (c *Core) abort(p *ferryoutcome.Problem, out []Action) []Action {
	switch c.phase {
	case phaseRunning:
		out = c.close(ferryoutcome.Unknown, out)
	case phaseMovingKV:
		out = append(out, Release{Plan: c.plan})
	}
	return c.fail(p, out)
}

func (c *Core) fail(p *ferryoutcome.Problem, out []Action) []Action {
	c.err = p
	c.phase = phaseAwaitingCancels
	return c.tryFinish(out)
}

// tryFinish finishes a failed job once its outcome is final.
func (c *Core) tryFinish(out []Action) []Action {
	if c.phase != phaseAwaitingCancels {
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
