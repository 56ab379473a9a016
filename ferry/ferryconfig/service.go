package ferryconfig

import (
	"slices"
	"time"

	"cactusferry.dev/ferry/ferryid"
)

// AcceleratorName is the name of an accelerator type.
type AcceleratorName string

// Megabytes is a size in millions of bytes.
type Megabytes float64

// Service is a set of upstreams that serve the same requests.
type Service struct {
	Name ferryid.ServiceName
	// HealthPath is the path of the upstreams' health check.
	HealthPath string
	// MaxConnections is the maximum number of connections that one upstream accepts from all
	// callers; zero means no limit.
	MaxConnections int
	// Model is set for services whose upstreams are engines that hold layers of a model.
	Model *Model
}

// Model describes a model and the performance of the engines that run it.
type Model struct {
	Name        string
	Layers      int
	LayerSize   Megabytes
	LoadTime    time.Duration
	LoadsAtOnce int
	// TokenBytes is the memory of one token in all layers, in bytes.
	TokenBytes int
	// EngineTokens is the number of tokens for which an engine should have request memory.
	EngineTokens int
	// Slots is the maximum number of requests that an engine runs at once as the first of a path.
	Slots int
	// StepTime is the time of one step through all layers on an accelerator with step factor 1.
	StepTime time.Duration
	// RequestTime is the time that each request in its decode phase adds to a step.
	RequestTime time.Duration
	// ContextTime is the time that each 1,000 context tokens of a request in its decode phase add to a step.
	ContextTime time.Duration
	// ReadRate is the prefill rate in prompt tokens per second, through all layers with read factor 1.
	ReadRate float64
	// PairTime is the prefill time added by each million pairs of a prompt token and an earlier token.
	PairTime time.Duration
	// StepsInPass is the number of steps per pass when a pass contains requests in their decode phase.
	StepsInPass int
	// ReadInStep is the maximum number of prompt tokens that one step reads.
	ReadInStep int
	// ReportLag is the age of an engine's load report.
	ReportLag time.Duration
	// UsualPrompt and UsualAnswer are the mean numbers of tokens of prompts and answers.
	UsualPrompt, UsualAnswer float64
	// HandoverBytes is the number of bytes that one engine sends to the next for each token.
	HandoverBytes int
	// LinkRate and DomainLinkRate are in megabits per second: the rate of one engine's link, and the rate
	// shared by all engines between two failure domains.
	LinkRate, DomainLinkRate float64
	Delays                   []Delay
	Accelerators             []Accelerator
}

// Delay is the one-way network delay between two failure domains.
type Delay struct {
	From, To ferryid.DomainName
	OneWay   time.Duration
}

// Accelerator is an accelerator type; its factors multiply the model's times.
type Accelerator struct {
	Name       AcceleratorName
	Memory     Megabytes
	StepFactor float64
	ReadFactor float64
}

// Accelerator returns the accelerator type of that name.
func (m *Model) Accelerator(name AcceleratorName) (Accelerator, bool) {
	for _, a := range m.Accelerators {
		if a.Name == name {
			return a, true
		}
	}
	return Accelerator{}, false
}

// usable returns the service without the accelerators and limits that have faults; false means that its requests cannot
// be served.
func (s Service) usable() (Service, bool) {
	s.MaxConnections = max(0, s.MaxConnections)
	if s.Model != nil && s.Model.Layers != 0 {
		m := *s.Model
		m.Accelerators = slices.DeleteFunc(slices.Clone(m.Accelerators), func(a Accelerator) bool { return !a.valid() })
		s.Model = &m
	}
	return s, s.Name != "" && s.check() == nil
}

func (a Accelerator) valid() bool { return a.Memory > 0 && a.StepFactor > 0 && a.ReadFactor > 0 }

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
		f.add(a.valid(), "service %q: memory and factors of accelerator %q must be above 0", s.Name, a.Name)
	}
	return f.err()
}
