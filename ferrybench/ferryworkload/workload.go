package ferryworkload

import (
	"fmt"
	"strings"
	"time"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryroute"
	"cactusferry.dev/ferry/ferryservice"
	"cactusferry.dev/ferry/ferrytoml"
)

const (
	maxDuration = 24 * time.Hour
	maxEntries  = 1000
	maxRunners  = 10000
	maxLayers   = 1024
	maxLoad     = 100
	maxTokens   = 1_000_000
	maxRequests = 20_000_000
)

// Duration is a time.Duration written as text such as "1m30s".
type Duration = ferryservice.Duration

// Workload is the input of one experiment.
type Workload struct {
	Name        string               `toml:"Name" json:"Name"`
	Seed        uint64               `toml:"Seed" json:"Seed"`
	Duration    Duration             `toml:"Duration" json:"Duration"`
	Warmup      Duration             `toml:"Warmup" json:"Warmup"`
	Entries     int                  `toml:"Entries" json:"Entries"`
	QueueLength int                  `toml:"QueueLength" json:"QueueLength"`
	Prediction  Prediction           `toml:"Prediction" json:"Prediction"`
	Route       ferryroute.Options   `toml:"Route" json:"Route"`
	Retry       Retry                `toml:"Retry" json:"Retry"`
	Reports     Reports              `toml:"Reports" json:"Reports"`
	Layout      Layout               `toml:"Layout" json:"Layout"`
	Runners     Runners              `toml:"Runners" json:"Runners"`
	Classes     ferryservice.Classes `toml:"Classes" json:"Classes"`
	Customers   Customers            `toml:"Customers" json:"Customers"`
	Kinds       Kinds                `toml:"Kinds" json:"Kinds"`
	Phases      Phases               `toml:"Phases" json:"Phases"`
	Faults      Faults               `toml:"Faults" json:"Faults"`
}

// Prediction is the source of predicted lengths.
type Prediction string

// The sources of predicted lengths. ferryd uses Learned; the others show the effect of perfect and missing
// predictions.
const (
	PredictLearned Prediction = "Learned"
	PredictExact   Prediction = "Exact"
	PredictNone    Prediction = "None"
)

// Retry configures retries. Attempts is the maximum number of retries of a refused call, and Patience the
// time from its arrival within which the caller retries. Share is the retry budget of simulated entries as a
// share of first tries.
type Retry struct {
	Attempts int      `toml:"Attempts" json:"Attempts"`
	Patience Duration `toml:"Patience" json:"Patience"`
	Share    float64  `toml:"Share" json:"Share"`
}

// Reports is the interval at which runners report their load, and the delay of a report; no reports if Every
// is 0.
type Reports struct {
	Every Duration `toml:"Every" json:"Every"`
	Delay Duration `toml:"Delay" json:"Delay"`
}

// Layout is the arrangement of runners in pipelines; without Stages each runner holds the whole model.
type Layout struct {
	Layers    ferryid.Layer `toml:"Layers" json:"Layers"`
	Stages    []int         `toml:"Stages" json:"Stages"`
	Equal     bool          `toml:"Equal" json:"Equal"`
	LinkDelay Duration      `toml:"LinkDelay" json:"LinkDelay"`
}

// Runner is a group of identical runners. Rate is the throughput for the whole model with all slots in use,
// StreamRate the maximum rate of one stream, both in tokens/s.
type Runner struct {
	Name       string  `toml:"Name" json:"Name"`
	Count      int     `toml:"Count" json:"Count"`
	Rate       float64 `toml:"Rate" json:"Rate"`
	StreamRate float64 `toml:"StreamRate" json:"StreamRate"`
	Slots      int     `toml:"Slots" json:"Slots"`
	Prefixes   int     `toml:"Prefixes" json:"Prefixes"`
	Curve      Curve   `toml:"Curve" json:"Curve"`
}

// Curve is the dependence of a stream's rate on the number of concurrent streams of a runner.
type Curve string

// The curves. With Knee, streams run at StreamRate until the sum reaches Rate. With Line, each stream adds
// the same time per token.
const (
	CurveKnee Curve = "Knee"
	CurveLine Curve = "Line"
)

// Runners are the groups of runners.
type Runners []Runner

// Customer is one customer; Load is its weight in the arrivals, Share its weight in the service.
type Customer struct {
	Name  ferryid.CustomerName `toml:"Name" json:"Name"`
	Share float64              `toml:"Share" json:"Share"`
	Load  float64              `toml:"Load" json:"Load"`
}

// Customers are the customers of a workload.
type Customers []Customer

// Kind is one kind of call. Lengths have a log-normal distribution with the medians Prompt and Tokens and the
// standard deviation Spread of the logarithm. If Path is set, the load generator sends the call to the plain
// service.
type Kind struct {
	Name       string         `toml:"Name" json:"Name"`
	Weight     float64        `toml:"Weight" json:"Weight"`
	Prompt     ferryid.Tokens `toml:"Prompt" json:"Prompt"`
	Shared     ferryid.Tokens `toml:"Shared" json:"Shared"`
	Prefixes   int            `toml:"Prefixes" json:"Prefixes"`
	Tokens     ferryid.Tokens `toml:"Tokens" json:"Tokens"`
	Spread     float64        `toml:"Spread" json:"Spread"`
	MaxTokens  ferryid.Tokens `toml:"MaxTokens" json:"MaxTokens"`
	Deadline   Duration       `toml:"Deadline" json:"Deadline"`
	Straggler  bool           `toml:"Straggler" json:"Straggler"`
	Repeatable bool           `toml:"Repeatable" json:"Repeatable"`
	Method     string         `toml:"Method" json:"Method,omitempty"`
	Path       string         `toml:"Path" json:"Path,omitempty"`
}

// Kinds are the kinds of calls of a workload.
type Kinds []Kind

// Phase sets the offered load from a time on as a share of the capacity; it is reached linearly over Ramp.
type Phase struct {
	At   Duration `toml:"At" json:"At"`
	Load float64  `toml:"Load" json:"Load"`
	Ramp Duration `toml:"Ramp" json:"Ramp"`
}

// Phases are the phases of a workload in order of time.
type Phases []Phase

// FaultKind is the kind of an injected fault.
type FaultKind string

// The kinds of faults.
const (
	FaultKill       FaultKind = "Kill"
	FaultFreeze     FaultKind = "Freeze"
	FaultSlow       FaultKind = "Slow"
	FaultHeal       FaultKind = "Heal"
	FaultKillEntry  FaultKind = "KillEntry"
	FaultDrainEntry FaultKind = "DrainEntry"
)

// Fault is injected at a time into Count runners or entries, starting with index First. Factor is the
// remaining share of the rate for FaultSlow.
type Fault struct {
	At     Duration  `toml:"At" json:"At"`
	Kind   FaultKind `toml:"Kind" json:"Kind"`
	First  int       `toml:"First" json:"First"`
	Count  int       `toml:"Count" json:"Count"`
	Factor float64   `toml:"Factor" json:"Factor"`
}

// Faults are the faults of a workload.
type Faults []Fault

// Decode decodes and validates a workload; the error is a *ferrytoml.FaultsError that lists all invalid
// fields.
func Decode(name string, data []byte) (*Workload, error) {
	w := &Workload{Entries: 1, QueueLength: 4000, Prediction: PredictLearned}
	if err := ferrytoml.Decode(name, data, w); err != nil {
		return nil, err
	}
	return w, nil
}

// Check records every invalid field of the workload.
func (w *Workload) Check(c *ferrytoml.Check) {
	inRange(c, "Duration", time.Duration(w.Duration).Seconds(), 1, maxDuration.Seconds())
	inRange(c, "Warmup", time.Duration(w.Warmup).Seconds(), 0, time.Duration(w.Duration).Seconds())
	inRange(c, "Entries", float64(w.Entries), 1, maxEntries)
	inRange(c, "QueueLength", float64(w.QueueLength), 1, 1e6)
	inRange(c, "Retry.Attempts", float64(w.Retry.Attempts), 0, 100)
	inRange(c, "Retry.Share", w.Retry.Share, 0, 1)
	if w.Name == "" {
		c.Fault("Name", "must not be empty")
	}
	switch w.Prediction {
	case PredictLearned, PredictExact, PredictNone:
	default:
		c.Fault("Prediction", "must be Learned, Exact or None, is %q", w.Prediction)
	}
	w.Runners.check(c)
	w.Layout.check(c, w.Runners)
	w.Customers.check(c)
	w.Kinds.check(c)
	w.Phases.check(c)
	w.Faults.check(c, w)
	if n := w.expectedRequests(); n > maxRequests {
		c.Fault("Duration", "gives about %.0f requests, must be at most %d", n, maxRequests)
	}
}

// inRange records a value outside the range; NaN is outside.
func inRange(c *ferrytoml.Check, field string, v, lower, upper float64) {
	if !(v >= lower && v <= upper) {
		c.Fault(field, "must be from %v to %v, is %v", lower, upper, v)
	}
}

func (rs Runners) check(c *ferrytoml.Check) {
	if len(rs) == 0 {
		c.Fault("Runners", "must have at least one group")
	}
	for i, r := range rs {
		f := fmt.Sprintf("Runners[%d].", i)
		inRange(c, f+"Count", float64(r.Count), 1, maxRunners)
		inRange(c, f+"Rate", r.Rate, 1e-3, 1e9)
		inRange(c, f+"StreamRate", r.StreamRate, 1e-3, 1e9)
		inRange(c, f+"Slots", float64(r.Slots), 1, 1e5)
		inRange(c, f+"Prefixes", float64(r.Prefixes), 0, 1e6)
		switch r.Curve {
		case "", CurveKnee, CurveLine:
		default:
			c.Fault(f+"Curve", "must be Knee or Line, is %q", r.Curve)
		}
	}
}

// Count returns the number of runners in all groups.
func (rs Runners) Count() int {
	n := 0
	for _, r := range rs {
		n += r.Count
	}
	return n
}

func (l Layout) check(c *ferrytoml.Check, rs Runners) {
	inRange(c, "Layout.LinkDelay", time.Duration(l.LinkDelay).Seconds(), 0, 10)
	inRange(c, "Layout.Layers", float64(l.Layers), 0, maxLayers)
	n := 0
	for i, s := range l.Stages {
		f := fmt.Sprintf("Layout.Stages[%d]", i)
		inRange(c, f, float64(s), 1, 64)
		if s > int(l.Layers) {
			c.Fault(f, "must not exceed the number of layers")
		}
		n += s
	}
	if len(l.Stages) > 0 && n != rs.Count() {
		c.Fault("Layout.Stages", "must add up to the number of runners: sum is %d, number of runners is %d", n, rs.Count())
	}
}

func (cs Customers) check(c *ferrytoml.Check) {
	if len(cs) == 0 {
		c.Fault("Customers", "must have at least one")
	}
	for i, cu := range cs {
		f := fmt.Sprintf("Customers[%d].", i)
		if err := ferryid.CheckName(string(cu.Name)); err != nil {
			c.Fault(f+"Name", "%s", err)
		}
		inRange(c, f+"Share", cu.Share, 1e-6, 1e6)
		inRange(c, f+"Load", cu.Load, 0, 1e6)
	}
}

func (ks Kinds) check(c *ferrytoml.Check) {
	if len(ks) == 0 {
		c.Fault("Kinds", "must have at least one")
	}
	for i, k := range ks {
		f := fmt.Sprintf("Kinds[%d].", i)
		inRange(c, f+"Weight", k.Weight, 1e-9, 1e6)
		inRange(c, f+"Prompt", float64(k.Prompt), 0, maxTokens)
		inRange(c, f+"Shared", float64(k.Shared), 0, float64(k.Prompt))
		inRange(c, f+"Tokens", float64(k.Tokens), 1, maxTokens)
		inRange(c, f+"MaxTokens", float64(k.MaxTokens), 0, maxTokens)
		inRange(c, f+"Spread", k.Spread, 0, 3)
		inRange(c, f+"Prefixes", float64(k.Prefixes), 0, 1e6)
		if k.Path != "" && !strings.HasPrefix(k.Path, "/") {
			c.Fault(f+"Path", "must start with /, is %q", k.Path)
		}
		if (k.Path == "") != (k.Method == "") {
			c.Fault(f+"Method", "must be set if and only if Path is set")
		}
		inRange(c, f+"Deadline", time.Duration(k.Deadline).Seconds(), 0, maxDuration.Seconds())
	}
}

func (ps Phases) check(c *ferrytoml.Check) {
	if len(ps) == 0 {
		c.Fault("Phases", "must have at least one")
	}
	for i, p := range ps {
		f := fmt.Sprintf("Phases[%d].", i)
		inRange(c, f+"Load", p.Load, 0, maxLoad)
		inRange(c, f+"Ramp", time.Duration(p.Ramp).Seconds(), 0, maxDuration.Seconds())
		if i > 0 && p.At <= ps[i-1].At {
			c.Fault(f+"At", "must be later than At of the previous phase")
		}
	}
}

func (fs Faults) check(c *ferrytoml.Check, w *Workload) {
	for i, x := range fs {
		f := fmt.Sprintf("Faults[%d].", i)
		inRange(c, f+"At", time.Duration(x.At).Seconds(), 0, time.Duration(w.Duration).Seconds())
		available := w.Units()
		switch x.Kind {
		case FaultKill, FaultFreeze, FaultHeal:
		case FaultKillEntry, FaultDrainEntry:
			available = w.Entries
		case FaultSlow:
			inRange(c, f+"Factor", x.Factor, 1e-3, 1)
		default:
			c.Fault(f+"Kind", "must be Kill, Freeze, Slow, Heal, KillEntry or DrainEntry, is %q", x.Kind)
		}
		if x.First < 0 || x.Count < 1 || x.First+x.Count > available {
			c.Fault(f+"Count", "must be at least 1, and First + Count at most %d", available)
		}
	}
}

// Units returns the number of pipelines, or of runners if each holds the whole model.
func (w *Workload) Units() int {
	if len(w.Layout.Stages) > 0 {
		return len(w.Layout.Stages)
	}
	return w.Runners.Count()
}
