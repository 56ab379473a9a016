package ferrypipeline_test

import (
	"errors"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cactusferry.dev/ferry/ferryengine"
	"cactusferry.dev/ferry/ferryengine/ferryenginetest"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
	"cactusferry.dev/ferry/ferrypipeline"
)

const (
	simTokens = 8
	simLayers = 4
	simSteps  = 200
)

// simEpoch is the truth about one epoch, which the core does not see.
type simEpoch struct {
	request ferryengine.RunRequest
	ready   bool
	ran     bool
	over    bool
	asked   bool
	doubted bool
}

// sim drives a core with random messages and is the oracle of what it may do.
type sim struct {
	t       *rapid.T
	core    *ferrypipeline.Core
	now     time.Time
	want    []string
	got     []ferrypipeline.Token
	epochs  map[ferryid.Epoch]*simEpoch
	order   []ferryid.Epoch
	current *simEpoch
	moving  ferryid.Epoch
	asking  bool
	waiting bool
	plans   int
	held    int
	end     *ferrypipeline.Finish
}

func simPlan(n int) ferrypipeline.Plan {
	p := ferrypipeline.Plan{Layers: simLayers}
	for i := range 2 {
		name := string(rune('a'+n%3)) + string(rune('0'+i))
		p.Stages = append(p.Stages, ferrypipeline.Stage{
			Name: ferryid.UpstreamName(name), Address: name,
			Layers: ferryid.LayerRange{From: ferryid.Layer(2 * i), To: ferryid.Layer(2*i + 2)},
		})
	}
	return p
}

func newSim(t *rapid.T) *sim {
	job := &ferrypipeline.Job{Stream: "s", Prompt: "p", MaxTokens: simTokens, Seed: 3, Deadline: time.Unix(1000, 0)}
	want := ferryenginetest.Reference(3, "p", simTokens, simLayers)
	job.Resume = slices.Clone(want[:rapid.IntRange(0, 2).Draw(t, "resume")])
	s := &sim{t: t, now: time.Unix(0, 0), want: want, epochs: map[ferryid.Epoch]*simEpoch{}}
	s.core = ferrypipeline.NewCore(job, ferrypipeline.CoreConfig{ImportFrom: 1, MaxFailures: 3, MaxWaits: 3})
	s.got = make([]ferrypipeline.Token, len(job.Resume))
	return s
}

func (s *sim) send(m ferrypipeline.Message) {
	for _, a := range s.core.Step(m, s.now, nil) {
		s.check(a)
	}
}

// check holds each action against the oracle.
func (s *sim) check(a ferrypipeline.Action) {
	t := s.t
	assert.Assert(t, s.end == nil, "an action after the end: %#v", a)
	switch a := a.(type) {
	case ferrypipeline.AskPlan:
		s.asking = true
	case ferrypipeline.MoveKV:
		s.moving = a.Epoch
	case ferrypipeline.Start:
		assert.Assert(t, s.current == nil || s.current.over, "two epochs at once")
		assert.Assert(t, s.epochs[a.Request.Epoch] == nil, "epoch %d started twice", a.Request.Epoch)
		assert.NilError(t, a.Request.Check())
		assert.DeepEqual(t, a.Request.Generated, s.want[:len(s.got)])
		s.current = &simEpoch{request: a.Request}
		s.epochs[a.Request.Epoch] = s.current
		s.order = append(s.order, a.Request.Epoch)
	case ferrypipeline.Emit:
		assert.Equal(t, a.Token.Position, ferryid.Position(len(s.got)), "not the next token")
		assert.Equal(t, a.Token.Text, s.want[len(s.got)])
		assert.Equal(t, a.Token.Epoch, s.current.request.Epoch, "a token of an older epoch")
		s.got = append(s.got, a.Token)
	case ferrypipeline.CancelEpoch:
		s.epochs[a.Epoch].over = true
		s.epochs[a.Epoch].asked = true
	case ferrypipeline.Release:
		s.held--
		if s.current != nil {
			s.current.over = true
		}
	case ferrypipeline.Wait:
		s.waiting = true
	case ferrypipeline.Finish:
		s.end = &a
		s.checkEnd(a)
	}
}

// checkEnd compares the outcome with the truth: NotRun only if nothing ran, Unknown only if something is truly unknown.
func (s *sim) checkEnd(f ferrypipeline.Finish) {
	assert.Equal(s.t, s.held, 0, "plans not given back")
	if f.Err == nil {
		assert.Equal(s.t, len(s.got), simTokens, "a short answer that claims to be whole")
		return
	}
	ran, doubted := false, false
	for _, e := range s.epochs {
		ran = ran || e.ran
		doubted = doubted || e.doubted
	}
	var p *ferryoutcome.Problem
	assert.Assert(s.t, errors.As(f.Err, &p))
	switch p.Outcome {
	case ferryoutcome.NotRun:
		assert.Assert(s.t, !ran, "NotRun of a job that ran")
	case ferryoutcome.Ran:
		assert.Assert(s.t, ran, "Ran of a job that did not run")
	case ferryoutcome.Unknown:
		assert.Assert(s.t, doubted, "Unknown where the outcome is known")
	default:
		s.t.Fatalf("no outcome: %v", p)
	}
}

func (s *sim) item(e *simEpoch, p ferryid.Position) ferryengine.Item {
	it := ferryengine.Item{Epoch: e.request.Epoch, Position: p, Text: s.want[p]}
	for _, st := range e.request.Stages {
		it.Receipts = append(it.Receipts, ferryengine.Receipt{Stage: st.Address, Layers: st.Layers})
	}
	return it
}

// step sends one random message that the world could send now.
func (s *sim) step() {
	t := s.t
	switch {
	case s.asking:
		s.asking = false
		if rapid.IntRange(0, 5).Draw(t, "plan") == 0 {
			s.send(ferrypipeline.NoPlan{Err: errors.New("none")})
			return
		}
		s.plans++
		s.held++
		s.send(ferrypipeline.Planned{Plan: simPlan(s.plans)})
		return
	case s.moving != 0:
		m := s.moving
		s.moving = 0
		s.send(ferrypipeline.KVMoved{Epoch: m, OK: rapid.Bool().Draw(t, "moved")})
		return
	case s.waiting:
		s.waiting = false
		s.send(ferrypipeline.Woke{})
		return
	case s.current == nil || s.current.over:
		s.answerCancel()
		return
	}
	switch rapid.IntRange(0, 15).Draw(t, "do") {
	case 0, 1, 2, 3, 4, 5, 6:
		s.progress()
	case 7:
		s.again()
	case 8:
		s.late()
	case 9:
		s.wrong()
	case 10:
		s.fail()
	case 11, 12:
		s.breakOff()
	case 13:
		s.answerCancel()
	case 14:
		if rapid.IntRange(0, 9).Draw(t, "stop") == 0 {
			s.send(ferrypipeline.DeadlinePassed{})
		}
	case 15:
		if rapid.IntRange(0, 9).Draw(t, "gone") == 0 {
			s.send(ferrypipeline.CallerGone{Err: errors.New("gone")})
		}
	}
}

func (s *sim) deliver(e *simEpoch, it ferryengine.Item) {
	s.send(ferrypipeline.ItemArrived{Epoch: e.request.Epoch, Item: it})
}

func (s *sim) progress() {
	e := s.current
	if !e.ready {
		e.ready = true
		e.ran = rapid.Bool().Draw(s.t, "ran")
		s.deliver(e, ferryengine.Item{Epoch: e.request.Epoch, Ready: true})
		return
	}
	e.ran = true
	if len(s.got) == simTokens {
		s.deliver(e, ferryengine.Item{Epoch: e.request.Epoch, Done: true, Reason: "length"})
		return
	}
	s.deliver(e, s.item(e, ferryid.Position(len(s.got))))
}

func (s *sim) again() {
	if len(s.got) > 0 && s.current.ran {
		s.deliver(s.current, s.item(s.current, ferryid.Position(rapid.IntRange(0, len(s.got)-1).Draw(s.t, "again"))))
	}
}

// late sends a token of an older epoch, on its own connection or on the present one.
func (s *sim) late() {
	for _, epoch := range s.order {
		e := s.epochs[epoch]
		if e == s.current || !e.ran {
			continue
		}
		it := s.item(e, ferryid.Position(min(len(s.got), simTokens-1)))
		it.Text = " late"
		switch rapid.IntRange(0, 2).Draw(s.t, "connection") {
		case 1:
			epoch = s.current.request.Epoch
		case 2:
			it.Epoch = s.current.request.Epoch
		}
		s.send(ferrypipeline.ItemArrived{Epoch: epoch, Item: it})
		return
	}
}

// wrong sends a token that no sound pipeline sends.
func (s *sim) wrong() {
	e := s.current
	if !e.ready || len(s.got) >= simTokens-1 {
		return
	}
	e.ran = true
	it := s.item(e, ferryid.Position(len(s.got)))
	switch rapid.IntRange(0, 4).Draw(s.t, "wrong") {
	case 0:
		it.Position++
	case 1:
		it.Receipts = it.Receipts[1:]
	case 2:
		slices.Reverse(it.Receipts)
	case 3:
		it.Receipts = append(it.Receipts, it.Receipts[1])
	case 4:
		it = ferryengine.Item{Epoch: it.Epoch, Done: true, Reason: "length"}
	}
	before := len(s.got)
	s.deliver(e, it)
	assert.Equal(s.t, len(s.got), before, "a wrong token was accepted")
}

func (s *sim) fail() {
	e := s.current
	kinds := []ferryengine.FailureKind{ferryengine.FailureDied, ferryengine.FailureEmpty, ferryengine.FailureRefused, ferryengine.FailureDraining}
	f := &ferryengine.Failure{Stage: e.request.Stages[rapid.IntRange(0, 1).Draw(s.t, "stage")].Address, Kind: rapid.SampledFrom(kinds).Draw(s.t, "kind")}
	s.deliver(e, ferryengine.Item{Epoch: e.request.Epoch, Failed: f})
}

func (s *sim) breakOff() {
	e := s.current
	b := ferrypipeline.Broke{Epoch: e.request.Epoch, Outcome: ferryoutcome.Unknown, Err: errors.New("broken")}
	if !e.ready && rapid.Bool().Draw(s.t, "not run") {
		b.Outcome = ferryoutcome.NotRun
		kinds := []ferryoutcome.Kind{"", ferryoutcome.KindDraining, ferryoutcome.KindConflict, ferryoutcome.KindNotFound}
		b.Refused = rapid.SampledFrom(kinds).Draw(s.t, "refused")
	} else if !e.ready {
		e.ran = rapid.Bool().Draw(s.t, "ran")
	}
	if rapid.Bool().Draw(s.t, "silent") {
		b.Err = &ferryengine.SilentError{}
	}
	s.send(b)
}

func (s *sim) answerCancel() {
	for _, epoch := range s.order {
		e := s.epochs[epoch]
		if !e.asked {
			continue
		}
		e.asked = false
		known := rapid.Bool().Draw(s.t, "known")
		e.doubted = !known
		s.send(ferrypipeline.CancelAnswered{Epoch: epoch, Known: known, Ran: e.ran})
		return
	}
}

func TestCoreAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t)
		s.send(ferrypipeline.Begin{})
		for range simSteps {
			if s.end != nil {
				return
			}
			s.step()
		}
		t.Fatalf("the job did not end in %d messages", simSteps)
	})
}
