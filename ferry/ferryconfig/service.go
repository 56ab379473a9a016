package ferryconfig

import (
	"time"

	"cactusferry.dev/ferry/ferryid"
)

// AcceleratorName names a kind of accelerator.
type AcceleratorName string

// Megabytes counts millions of bytes.
type Megabytes float64

// Service is one set of upstreams that do the same.
type Service struct {
	Name ferryid.ServiceName
	// HealthPath is where an upstream says whether it is healthy.
	HealthPath string
	// MaxConnections is the most connections that one upstream accepts from all callers together; zero stands for no limit.
	MaxConnections int
	// Model is set for services of engines that hold layers of a model.
	Model *Model
}

// Model describes a model and the engines that run it.
type Model struct {
	Name        string
	Layers      int
	LayerSize   Megabytes
	LoadTime    time.Duration
	LoadsAtOnce int
	// TokenBytes is the memory of one token in all layers.
	TokenBytes int
	// EngineTokens is for how many tokens of requests an engine is meant to have memory.
	EngineTokens int
	// Slots is the most requests that an engine runs at once as the first of a path.
	Slots int
	// StepTime is one token's step through all layers on an accelerator of pace 1.
	StepTime time.Duration
	// RequestTime is what each request that is writing adds to a step.
	RequestTime time.Duration
	// ContextTime is what 1,000 tokens of context of a request that is writing add to a step.
	ContextTime time.Duration
	// ReadRate is in prompt tokens a second, through all layers on an accelerator of read factor 1.
	ReadRate float64
	// PairTime is what a million pairs of a token and an earlier one add to reading.
	PairTime time.Duration
	// StepsInPass is the number of steps in each pass that includes requests that are writing.
	StepsInPass int
	// ReadInStep is the most prompt tokens that one step reads.
	ReadInStep int
	// ReportLag is how old an engine's report of its load is.
	ReportLag time.Duration
	// UsualPrompt and UsualAnswer are mean token counts.
	UsualPrompt, UsualAnswer int
	// HandoverBytes is what one engine hands to the next for one token.
	HandoverBytes int
	// LinkRate and DomainLinkRate are in megabits a second: of one engine's link, and of what all engines of two failure domains share.
	LinkRate, DomainLinkRate float64
	Delays                   []Delay
	Accelerators             []Accelerator
}

// Delay is the time one way between two failure domains.
type Delay struct {
	From, To ferryid.DomainName
	OneWay   time.Duration
}

// Accelerator is one kind of accelerator; its factors multiply the model's times.
type Accelerator struct {
	Name       AcceleratorName
	Memory     Megabytes
	StepFactor float64
	ReadFactor float64
}

// Accelerator returns the kind of that name.
func (m *Model) Accelerator(name AcceleratorName) (Accelerator, bool) {
	for _, a := range m.Accelerators {
		if a.Name == name {
			return a, true
		}
	}
	return Accelerator{}, false
}

func (s Service) check() error {
	f := faults{}
	f.add(s.MaxConnections >= 0, "service %q: the number of connections must not be negative", s.Name)
	if s.Model == nil || s.Model.Layers == 0 {
		return f.err()
	}
	f.add(s.Model.Layers > 0, "service %q: the model must have layers", s.Name)
	f.add(s.Model.LayerSize > 0, "service %q: the size of a layer must be above 0", s.Name)
	f.add(len(s.Model.Accelerators) > 0, "service %q: no kind of accelerator is described", s.Name)
	for _, a := range s.Model.Accelerators {
		f.add(a.Memory > 0 && a.StepFactor > 0 && a.ReadFactor > 0, "service %q: memory and factors of accelerator %q must be above 0", s.Name, a.Name)
	}
	return f.err()
}
