package ferrypipeline

import (
	"fmt"
	"time"

	"cactusferry.dev/ferry/ferryengine"
	"cactusferry.dev/ferry/ferryid"
)

// Candidate is an engine that can run a stage; Layers are the layers that it holds, of which a
// stage may use a part.
type Candidate struct {
	Name        ferryid.UpstreamName
	Address     string
	Incarnation ferryid.Incarnation
	Domain      ferryid.DomainName
	Layers      ferryid.LayerRange
}

// Candidates are the engines of one service.
type Candidates []Candidate

// Load is the known speed and work of a candidate.
type Load struct {
	// Rate is the measured token rate through all layers that the candidate holds.
	Rate ferryid.TokensPerSecond
	// Outstanding is the predicted work assigned to the candidate and not finished.
	Outstanding ferryid.Tokens
	// Slots is the number of jobs that this entry may have on the candidate while other candidates have free
	// slots; 0 means unbounded. Running is the number that it has.
	Slots   int
	Running int
	// Avoid excludes the candidate from new plans.
	Avoid bool
}

// Stage is one engine's part of a plan.
type Stage struct {
	Name        ferryid.UpstreamName
	Address     string
	Incarnation ferryid.Incarnation
	Domain      ferryid.DomainName
	Layers      ferryid.LayerRange
	// Share is the fraction of the engine's layers that the stage uses, from 0 to 1.
	Share float64
}

// Plan is a chain of stages that covers all layers of a model.
type Plan struct {
	Stages []Stage
	Layers ferryid.Layer
	// Tokens is the work that the plan was chosen for, in tokens.
	Tokens ferryid.Tokens
	// Rate is the token rate of the slowest stage without other work.
	Rate ferryid.TokensPerSecond
	// At is the time at which the plan was chosen.
	At time.Time
}

// PlanError reports a plan whose stages do not cover the model's layers.
type PlanError struct {
	Layer  ferryid.Layer
	Detail string
}

func (e *PlanError) Error() string {
	return fmt.Sprintf("plan at layer %d: %s", e.Layer, e.Detail)
}

// Check returns a *PlanError unless the stages cover the layers once and in order.
func (p *Plan) Check() error {
	next := ferryid.Layer(0)
	for _, s := range p.Stages {
		if s.Layers.From != next || s.Layers.Len() == 0 {
			return &PlanError{Layer: next, Detail: fmt.Sprintf("%s takes %s", s.Name, s.Layers)}
		}
		next = s.Layers.To
	}
	if next != p.Layers || next == 0 {
		return &PlanError{Layer: next, Detail: fmt.Sprintf("the chain ends, the model has %d layers", p.Layers)}
	}
	return nil
}

// stage returns the index of the stage at the address, or -1.
func (p *Plan) stage(address string) int {
	for i := range p.Stages {
		if p.Stages[i].Address == address {
			return i
		}
	}
	return -1
}

func (p *Plan) clone() Plan {
	out := *p
	out.Stages = append([]Stage(nil), p.Stages...)
	return out
}

// wire returns the plan's stages and their incarnations in the form of a run request.
func (p *Plan) wire() (ferryengine.Stages, map[string]ferryid.Incarnation) {
	stages := make(ferryengine.Stages, len(p.Stages))
	incarnations := map[string]ferryid.Incarnation{}
	for i, s := range p.Stages {
		stages[i] = ferryengine.Stage{Address: s.Address, Layers: s.Layers}
		if s.Incarnation != "" {
			incarnations[s.Address] = s.Incarnation
		}
	}
	return stages, incarnations
}
