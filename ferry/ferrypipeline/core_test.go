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

// simEpoch is the actual state of one epoch, which the core can't see.
type simEpoch struct {
	request       ferryengine.RunRequest
	ready         bool
	ran           bool
	over          bool
	cancelPending bool
	unresolved    bool
}

// sim drives a core with random messages and checks its actions against an oracle.
type sim struct {
	t         *rapid.T
	core      *ferrypipeline.Core
	now       time.Time
	want      []string
	got       []ferrypipeline.Token
	epochs    map[ferryid.Epoch]*simEpoch
	order     []ferryid.Epoch
	current   *simEpoch
	moving    ferryid.Epoch
	asking    bool
	waiting   bool
	plans     int
	plansHeld int
	end       *ferrypipeline.Finish
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

// check compares an action with the oracle.
func (s *sim) check(a ferrypipeline.Action) {
	t := s.t
	assert.Assert(t, s.end == nil, "action after Finish: %#v", a)
	switch a := a.(type) {
	case ferrypipeline.AskPlan:
		s.asking = true
	case ferrypipeline.MoveKV:
		s.moving = a.Epoch
	case ferrypipeline.Start:
		assert.Assert(t, s.current == nil || s.current.over, "epoch started while another is running")
		assert.Assert(t, s.epochs[a.Request.Epoch] == nil, "epoch %d started twice", a.Request.Epoch)
		assert.NilError(t, a.Request.Check())
		assert.DeepEqual(t, a.Request.Generated, s.want[:len(s.got)])
		s.current = &simEpoch{request: a.Request}
		s.epochs[a.Request.Epoch] = s.current
		s.order = append(s.order, a.Request.Epoch)
	case ferrypipeline.Emit:
		assert.Equal(t, a.Token.Position, ferryid.Position(len(s.got)), "emitted token is not the next one")
		assert.Equal(t, a.Token.Text, s.want[len(s.got)])
		assert.Equal(t, a.Token.Epoch, s.current.request.Epoch, "emitted token is of an older epoch")
		s.got = append(s.got, a.Token)
	case ferrypipeline.CancelEpoch:
		s.epochs[a.Epoch].over = true
		s.epochs[a.Epoch].cancelPending = true
	case ferrypipeline.Release:
		s.plansHeld--
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

// checkEnd verifies the outcome: NotRun only if nothing ran, Unknown only if a first stage did not know.
func (s *sim) checkEnd(f ferrypipeline.Finish) {
	assert.Equal(s.t, s.plansHeld, 0, "plans not released")
	if f.Err == nil {
		assert.Equal(s.t, len(s.got), simTokens, "truncated answer without an error")
		return
	}
	ran, unresolved := false, false
	for _, e := range s.epochs {
		ran = ran || e.ran
		unresolved = unresolved || e.unresolved
	}
	var p *ferryoutcome.Problem
	assert.Assert(s.t, errors.As(f.Err, &p))
	switch p.Outcome {
	case ferryoutcome.NotRun:
		assert.Assert(s.t, !ran, "outcome NotRun of a job that ran")
	case ferryoutcome.Ran:
		assert.Assert(s.t, ran, "outcome Ran of a job that did not run")
	case ferryoutcome.Unknown:
		assert.Assert(s.t, unresolved, "outcome Unknown although every first stage knew")
	default:
		s.t.Fatalf("invalid outcome: %v", p)
	}
}

func (s *sim) item(e *simEpoch, p ferryid.Position) ferryengine.Item {
	it := ferryengine.Item{Epoch: e.request.Epoch, Position: p, Text: s.want[p]}
	for _, st := range e.request.Stages {
		it.Receipts = append(it.Receipts, ferryengine.Receipt{Stage: st.Address, Layers: st.Layers})
	}
	return it
}

// step sends a random message that is possible in the current state.
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
		s.plansHeld++
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
		s.duplicateItem()
	case 8:
		s.lateItem()
	case 9:
		s.invalidItem()
	case 10:
		s.fail()
	case 11, 12:
		s.breakConnection()
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

func (s *sim) duplicateItem() {
	if len(s.got) > 0 && s.current.ran {
		s.deliver(s.current, s.item(s.current, ferryid.Position(rapid.IntRange(0, len(s.got)-1).Draw(s.t, "again"))))
	}
}

// lateItem sends a token of an older epoch, on the connection of that epoch or of the current one.
func (s *sim) lateItem() {
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

// invalidItem sends an item that a correct pipeline never sends.
func (s *sim) invalidItem() {
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
	assert.Equal(s.t, len(s.got), before, "invalid token accepted")
}

func (s *sim) fail() {
	e := s.current
	kinds := []ferryengine.FailureKind{ferryengine.FailureDied, ferryengine.FailureEmpty, ferryengine.FailureRefused, ferryengine.FailureDraining}
	f := &ferryengine.Failure{Stage: e.request.Stages[rapid.IntRange(0, 1).Draw(s.t, "stage")].Address, Kind: rapid.SampledFrom(kinds).Draw(s.t, "kind")}
	s.deliver(e, ferryengine.Item{Epoch: e.request.Epoch, Failed: f})
}

func (s *sim) breakConnection() {
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
		b.Err = &ferryengine.IdleTimeoutError{}
	}
	s.send(b)
}

func (s *sim) answerCancel() {
	for _, epoch := range s.order {
		e := s.epochs[epoch]
		if !e.cancelPending {
			continue
		}
		e.cancelPending = false
		known := rapid.Bool().Draw(s.t, "known")
		e.unresolved = !known
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
		t.Fatalf("job did not end within %d messages", simSteps)
	})
}
