package ferryfleet

import (
	"fmt"
	"math"
	"time"

	"cactusferry.dev/ferry/ferryconfig"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryplacement"
	"cactusferry.dev/ferry/ferryservice"
	"cactusferry.dev/ferry/ferrytoml"
)

const (
	maxLayers  = 1024
	maxEngines = 10000
	maxTokens  = 1_000_000
)

// Duration is a time.Duration written as text such as "1.02ms".
type Duration = ferryservice.Duration

// Fleet is a model, the engines that serve it and the demand.
type Fleet struct {
	Model        Model         `toml:"Model"`
	Accelerators []Accelerator `toml:"Accelerators"`
	Engines      []Engines     `toml:"Engines"`
	Delays       []Delay       `toml:"Delays"`
	// Burst is the factor by which the demand rises in a burst.
	Burst  float64  `toml:"Burst"`
	Demand []Demand `toml:"Demand"`
}

// Model describes a model as ferryconfig.Model does, in the same units.
type Model struct {
	Layers         int      `toml:"Layers"`
	LayerSize      float64  `toml:"LayerSize"`
	TokenBytes     int      `toml:"TokenBytes"`
	EngineTokens   int      `toml:"EngineTokens"`
	Slots          int      `toml:"Slots"`
	StepTime       Duration `toml:"StepTime"`
	RequestTime    Duration `toml:"RequestTime"`
	ContextTime    Duration `toml:"ContextTime"`
	ReadRate       float64  `toml:"ReadRate"`
	PairTime       Duration `toml:"PairTime"`
	StepsInPass    int      `toml:"StepsInPass"`
	ReadInStep     int      `toml:"ReadInStep"`
	UsualPrompt    int      `toml:"UsualPrompt"`
	UsualAnswer    int      `toml:"UsualAnswer"`
	HandoverBytes  int      `toml:"HandoverBytes"`
	DomainLinkRate float64  `toml:"DomainLinkRate"`
}

// Accelerator is an accelerator type; Memory is in megabytes.
type Accelerator struct {
	Name       ferryconfig.AcceleratorName `toml:"Name"`
	Memory     float64                     `toml:"Memory"`
	StepFactor float64                     `toml:"StepFactor"`
	ReadFactor float64                     `toml:"ReadFactor"`
}

// Engines are the engines of one accelerator type in a failure domain.
type Engines struct {
	Domain      ferryid.DomainName          `toml:"Domain"`
	Accelerator ferryconfig.AcceleratorName `toml:"Accelerator"`
	Count       int                         `toml:"Count"`
}

// Delay is the one-way network delay between two failure domains.
type Delay struct {
	From   ferryid.DomainName `toml:"From"`
	To     ferryid.DomainName `toml:"To"`
	OneWay Duration           `toml:"OneWay"`
}

// Demand is the rate of the streams that begin in a failure domain, per second.
type Demand struct {
	Domain  ferryid.DomainName `toml:"Domain"`
	Streams float64            `toml:"Streams"`
}

// Decode decodes and validates a fleet; the error is a *ferrytoml.FaultsError that lists all invalid fields.
func Decode(name string, data []byte) (*Fleet, error) {
	f := &Fleet{Burst: 1}
	if err := ferrytoml.Decode(name, data, f); err != nil {
		return nil, err
	}
	return f, nil
}

// Check records every invalid field of the fleet.
func (f *Fleet) Check(c *ferrytoml.Check) {
	f.Model.check(c)
	inRange(c, "Burst", f.Burst, 1, 100)
	known := map[ferryconfig.AcceleratorName]bool{}
	for i, a := range f.Accelerators {
		at := fmt.Sprintf("Accelerators[%d].", i)
		inRange(c, at+"Memory", a.Memory, 1, 1e9)
		inRange(c, at+"StepFactor", a.StepFactor, 1e-3, 1e6)
		inRange(c, at+"ReadFactor", a.ReadFactor, 1e-3, 1e6)
		if known[a.Name] || a.Name == "" {
			c.Fault(at+"Name", "must be unique and not empty, is %q", a.Name)
		}
		known[a.Name] = true
	}
	total := 0
	for i, e := range f.Engines {
		at := fmt.Sprintf("Engines[%d].", i)
		inRange(c, at+"Count", float64(e.Count), 0, maxEngines)
		if !known[e.Accelerator] {
			c.Fault(at+"Accelerator", "no accelerator has the name %q", e.Accelerator)
		}
		checkDomain(c, at+"Domain", e.Domain)
		total += min(max(e.Count, 0), maxEngines)
	}
	if total < 1 || total > maxEngines {
		c.Fault("Engines", "must have from 1 to %d engines, has %d", maxEngines, total)
	}
	for i, d := range f.Delays {
		at := fmt.Sprintf("Delays[%d].", i)
		checkDomain(c, at+"From", d.From)
		checkDomain(c, at+"To", d.To)
		inRange(c, at+"OneWay", time.Duration(d.OneWay).Seconds(), 0, 10)
	}
	for i, d := range f.Demand {
		at := fmt.Sprintf("Demand[%d].", i)
		checkDomain(c, at+"Domain", d.Domain)
		inRange(c, at+"Streams", d.Streams, 0, 1e9)
	}
}

func (m *Model) check(c *ferrytoml.Check) {
	inRange(c, "Model.Layers", float64(m.Layers), 1, maxLayers)
	inRange(c, "Model.LayerSize", m.LayerSize, 1e-3, 1e9)
	inRange(c, "Model.TokenBytes", float64(m.TokenBytes), 1, 1e12)
	inRange(c, "Model.EngineTokens", float64(m.EngineTokens), 0, 1e12)
	inRange(c, "Model.Slots", float64(m.Slots), 0, 1e6)
	inRange(c, "Model.StepTime", time.Duration(m.StepTime).Seconds(), 1e-9, 10)
	inRange(c, "Model.RequestTime", time.Duration(m.RequestTime).Seconds(), 0, 10)
	inRange(c, "Model.ContextTime", time.Duration(m.ContextTime).Seconds(), 0, 10)
	inRange(c, "Model.ReadRate", m.ReadRate, 1, 1e12)
	inRange(c, "Model.PairTime", time.Duration(m.PairTime).Seconds(), 0, 10)
	inRange(c, "Model.StepsInPass", float64(m.StepsInPass), 0, 1e6)
	inRange(c, "Model.ReadInStep", float64(m.ReadInStep), 0, maxTokens)
	inRange(c, "Model.UsualPrompt", float64(m.UsualPrompt), 1, maxTokens)
	inRange(c, "Model.UsualAnswer", float64(m.UsualAnswer), 1, maxTokens)
	inRange(c, "Model.HandoverBytes", float64(m.HandoverBytes), 0, 1e12)
	inRange(c, "Model.DomainLinkRate", m.DomainLinkRate, 0, 1e12)
}

func checkDomain(c *ferrytoml.Check, field string, d ferryid.DomainName) {
	if err := ferryid.CheckName(string(d)); err != nil {
		c.Fault(field, "%v", err)
	}
}

// inRange records a value outside the range; NaN is outside.
func inRange(c *ferrytoml.Check, field string, v, lower, upper float64) {
	if math.IsNaN(v) || v < lower || v > upper {
		c.Fault(field, "must be from %v to %v, is %v", lower, upper, v)
	}
}

// Config returns the model in the form of the configuration.
func (f *Fleet) Config() *ferryconfig.Model {
	m := f.Model
	out := &ferryconfig.Model{
		Layers: m.Layers, LayerSize: ferryconfig.Megabytes(m.LayerSize), TokenBytes: m.TokenBytes, EngineTokens: m.EngineTokens, Slots: m.Slots,
		StepTime: time.Duration(m.StepTime), RequestTime: time.Duration(m.RequestTime), ContextTime: time.Duration(m.ContextTime),
		ReadRate: m.ReadRate, PairTime: time.Duration(m.PairTime), StepsInPass: m.StepsInPass, ReadInStep: m.ReadInStep,
		UsualPrompt: float64(m.UsualPrompt), UsualAnswer: float64(m.UsualAnswer), HandoverBytes: m.HandoverBytes, DomainLinkRate: m.DomainLinkRate,
	}
	for _, d := range f.Delays {
		out.Delays = append(out.Delays, ferryconfig.Delay{From: d.From, To: d.To, OneWay: time.Duration(d.OneWay)})
	}
	for _, a := range f.Accelerators {
		out.Accelerators = append(out.Accelerators, ferryconfig.Accelerator{Name: a.Name, Memory: ferryconfig.Megabytes(a.Memory), StepFactor: a.StepFactor, ReadFactor: a.ReadFactor})
	}
	return out
}

// Empty returns the engines without layers.
func (f *Fleet) Empty() []ferryplacement.Engine {
	m := f.Config()
	var out []ferryplacement.Engine
	for _, e := range f.Engines {
		a, _ := m.Accelerator(e.Accelerator)
		for range e.Count {
			out = append(out, ferryplacement.Engine{
				Name:   ferryid.UpstreamName(fmt.Sprintf("%s-%s-%02d", e.Domain, e.Accelerator, count(out, e)+1)),
				Domain: e.Domain, Accelerator: a, Age: time.Minute,
			})
		}
	}
	return out
}

// count returns how many of the engines are of the same failure domain and accelerator type.
func count(engines []ferryplacement.Engine, of Engines) int {
	n := 0
	for i := range engines {
		if engines[i].Domain == of.Domain && engines[i].Accelerator.Name == of.Accelerator {
			n++
		}
	}
	return n
}
