package ferryplacement

import (
	"cmp"
	"math"
	"slices"

	"cactusferry.dev/ferry/ferryconfig"
	"cactusferry.dev/ferry/ferryid"
)

// Demand describes the streams that a bound is for.
type Demand struct {
	// Prompt and Answer are the mean numbers of tokens of a stream; less than one counts as one.
	Prompt, Answer ferryid.Tokens
}

// Resource is what an engine lacks for more streams.
type Resource int

// The resources.
const (
	// Memory is the memory for requests.
	Memory Resource = iota
	// Compute is the time for prefill and decode.
	Compute
	// Slots are the requests that an engine runs at once as the first of a path.
	Slots
)

// String returns the name of the resource.
func (r Resource) String() string {
	return [...]string{"memory", "compute", "slots"}[r]
}

// EngineLimit is the highest rate of one engine.
type EngineLimit struct {
	Engine *Engine
	// Rate is in streams times layers per second.
	Rate float64
	// Resource is what limits the rate.
	Resource Resource
}

// Limit is an upper bound of the rate of a set of engines and what determines it.
type Limit struct {
	// Streams is the bound in streams per second.
	Streams float64
	// Layers are the layers that determine the bound, and Engines the engines that hold some of them. A bound
	// over all placements has no layers.
	Layers  []ferryid.LayerRange
	Engines []EngineLimit
	// SharedMemory is set if the engines determine the bound by their memory together, for the least mean duration
	// of all streams, and not each for itself.
	SharedMemory bool
}

// DomainLimit is the limit of the streams that stay in one failure domain.
type DomainLimit struct {
	Domain ferryid.DomainName
	Limit
}

// Bound is an upper bound of the rate that a fleet can serve.
type Bound struct {
	// Streams is the bound in streams per second over all failure domains: the lower of All.Streams and the sum
	// of Domains and Crossing.
	Streams float64
	// All is the bound as if the links between failure domains had no limit.
	All Limit
	// Domains are the bounds of the streams that stay in one failure domain, by name.
	Domains []DomainLimit
	// Crossing is the highest rate of streams that the links between failure domains can carry, in streams per
	// second; it is infinite if they have no limit.
	Crossing float64
}

// LinksBind reports whether more links between failure domains would raise the bound.
func (b *Bound) LinksBind() bool { return b.Streams < b.All.Streams }

// PlacementBound returns an upper bound of the rate that engines can serve with the layers that they hold, in
// streams per second.
//
// A stream runs each layer on one engine that holds it. Each engine has a highest rate in streams times layers per
// second, by its memory for requests and its time for prefill and decode; the bound is the highest rate at which
// all layers can be served. It is lower if the memory of the engines that hold a layer does not suffice for the least
// mean duration of all streams at that rate, if the first engines lack slots, or if the links between failure
// domains cannot carry the streams that do not fit in one domain. The simplifications can only raise it:
//
//   - A path may change engines after any layer. The only cost is the delay between failure domains, and a stream
//     that leaves its failure domain uses a link once. Each link carries its rate in both directions.
//   - Prefill needs no memory and takes a stream no time. The prompt yields the first token of the answer, and
//     a request has memory only for the tokens that it has so far.
//   - A token never waits for a step to end, and no time passes between the caller and the engines.
//   - For its own rate, an engine is always busy, and each step decodes as many requests as its memory holds
//     prompts, for the fewest layers that a stream can run on it: those that no other engine holds, or one.
//   - For its own memory, an engine has only streams on the fastest path through it without other streams.
//   - For the mean duration, the streams of each accelerator type are divided evenly into as many steps as the
//     engines' time allows, and run on the fastest engines that the layers permit.
//   - A step that reads a part of a prompt costs no more than the prefill of that part, and passes of several steps
//     delay nothing.
//   - Paths are chosen with full knowledge, and no engine fails.
//
// All streams have the mean numbers of tokens, and all engines the nominal pace. A short burst can exceed the bound, as
// it may use memory that becomes free later.
func PlacementBound(m *ferryconfig.Model, engines []Engine, d Demand) *Bound {
	return newBounder(m, d).bound(engines, (*bounder).placed)
}

// BestBound returns an upper bound of the rate that the engines can serve with any placement, in streams per second.
//
// The simplifications of PlacementBound apply, and three more: each engine has memory as if it held only one layer, the
// memory of all engines beside one copy of the model serves each layer alike, and each engine may run any layer.
func BestBound(m *ferryconfig.Model, engines []Engine, d Demand) *Bound {
	return newBounder(m, d).bound(engines, (*bounder).best)
}

// bounder holds the model with the tokens of the demand.
type bounder struct {
	model *ferryconfig.Model
	// prompt is the number of prompt tokens, steps the number of answer tokens that are decoded.
	prompt, steps float64
	delays        map[[2]ferryid.DomainName]float64
}

func newBounder(m *ferryconfig.Model, d Demand) *bounder {
	prompt, answer := max(1, d.Prompt), max(1, d.Answer)
	with := *m
	with.UsualPrompt, with.UsualAnswer = float64(prompt), float64(answer)
	b := &bounder{model: &with, prompt: float64(prompt), steps: float64(answer - 1), delays: map[[2]ferryid.DomainName]float64{}}
	for _, delay := range m.Delays {
		b.delays[[2]ferryid.DomainName{delay.From, delay.To}] = delay.OneWay.Seconds()
		b.delays[[2]ferryid.DomainName{delay.To, delay.From}] = delay.OneWay.Seconds()
	}
	return b
}

// bound combines the limits of all engines, of each failure domain and of the links between them.
//
// The streams that stay in a failure domain remain within its limit, as they need no more without the others; those
// that leave one remain within the links' limit.
func (b *bounder) bound(engines []Engine, limit func(*bounder, []*Engine) Limit) *Bound {
	out := &Bound{}
	if b.model.Layers <= 0 || len(engines) == 0 {
		return out
	}
	var all []*Engine
	domains := map[ferryid.DomainName][]*Engine{}
	for i := range engines {
		e := &engines[i]
		all = append(all, e)
		domains[e.Domain] = append(domains[e.Domain], e)
	}
	out.All = limit(b, all)
	sum := 0.0
	for d, list := range domains {
		out.Domains = append(out.Domains, DomainLimit{Domain: d, Limit: limit(b, list)})
	}
	slices.SortFunc(out.Domains, func(a, b DomainLimit) int { return cmp.Compare(a.Domain, b.Domain) })
	for _, d := range out.Domains {
		sum += d.Streams
	}
	out.Crossing = b.crossing(len(domains))
	out.Streams = min(out.All.Streams, sum+out.Crossing)
	return out
}

// crossing returns the rate of streams that the links between a number of failure domains carry in both directions.
func (b *bounder) crossing(domains int) float64 {
	if domains < 2 {
		return 0
	}
	bits := float64(b.model.HandoverBytes) * 8 * (b.prompt + b.steps)
	if bits <= 0 || b.model.DomainLinkRate <= 0 {
		return math.Inf(1)
	}
	return float64(domains*(domains-1)) * b.model.DomainLinkRate * 1e6 / bits
}

// placed returns the limit of engines with the layers that they hold.
func (b *bounder) placed(engines []*Engine) Limit {
	paths := b.newPaths(engines)
	holders := make([]int, b.model.Layers)
	for _, e := range engines {
		for l := range b.held(e) {
			holders[l]++
		}
	}
	if missing := missingLayers(holders); len(missing) > 0 {
		return Limit{Layers: missing}
	}
	var limits []EngineLimit
	var supplies []supply
	for _, e := range engines {
		alone, duration := 0, math.Inf(1)
		for l := range b.held(e) {
			duration = min(duration, paths.through(e, l))
			if holders[l] == 1 {
				alone++
			}
		}
		memory := float64(b.model.RequestMemory(e.Accelerator, e.Held.Len()))
		l := b.engineLimit(e, memory, max(1, alone), duration)
		limits, supplies = append(limits, l), append(supplies, supply{layers: e.Held, rate: l.Rate})
	}
	rate, set := evenRate(b.model.Layers, supplies)
	out := Limit{Streams: rate, Layers: ranges(set)}
	out.addEngines(limits)
	out = b.firstLimit(out, limits, paths)
	held := make([]supply, len(supplies))
	for i, e := range engines {
		held[i] = supply{layers: e.Held, rate: float64(b.model.RequestMemory(e.Accelerator, e.Held.Len()))}
	}
	tokens, set := evenRate(b.model.Layers, held)
	if rate := b.sharedRate(limits, supplies, tokens, out.Streams); rate < out.Streams*(1-rateTolerance) {
		out = Limit{Streams: rate, Layers: ranges(set), SharedMemory: true}
		for i := range limits {
			limits[i].Resource = Memory
		}
		out.addEngines(limits)
	}
	return out
}

// addEngines adds the engines that hold a layer of the limit.
func (l *Limit) addEngines(limits []EngineLimit) {
	for _, e := range limits {
		if slices.ContainsFunc(l.Layers, func(r ferryid.LayerRange) bool { return overlap(r, e.Engine.Held).Len() > 0 }) {
			l.Engines = append(l.Engines, e)
		}
	}
}

// missingLayers returns the layers without holders.
func missingLayers(holders []int) []ferryid.LayerRange {
	set := make([]bool, len(holders))
	for l, n := range holders {
		set[l] = n == 0
	}
	return ranges(set)
}

// held yields the layers of the model that an engine holds.
func (b *bounder) held(e *Engine) func(func(int) bool) {
	return func(yield func(int) bool) {
		for l := int(e.Held.From); l < min(int(e.Held.To), b.model.Layers); l++ {
			if !yield(l) {
				return
			}
		}
	}
}

// heldTokens returns the memory that a stream needs for one layer, in tokens times seconds, for each second that a
// token takes. The first decoded token finds the prompt in memory, and each further one a token more.
func (b *bounder) heldTokens() float64 {
	return b.steps * (b.prompt + max(0, b.steps-1)/2)
}

// tokenTime returns the time of a token through one layer without other streams, in seconds.
func (b *bounder) tokenTime(a ferryconfig.Accelerator) float64 {
	return b.model.TokenTime(a, 1, 1).Seconds()
}

// engineLimit returns the highest rate of an engine with memory in tokens times layers, if its streams run at least
// the given number of layers on it and their tokens take the given time in seconds.
func (b *bounder) engineLimit(e *Engine, memory float64, layers int, duration float64) EngineLimit {
	batch := int(min(memory/(b.prompt*float64(layers)), maxBatch))
	if batch < 1 {
		return EngineLimit{Engine: e}
	}
	out := EngineLimit{Engine: e, Rate: maxRate, Resource: Compute}
	decode := b.model.TokenTime(e.Accelerator, 1, batch).Seconds() / float64(batch)
	if t := b.model.PrefillTime(e.Accelerator, 1).Seconds() + b.steps*decode; t > 0 {
		out.Rate = min(maxRate, 1/t)
	}
	if use := b.heldTokens() * duration; use*out.Rate > memory {
		out.Rate, out.Resource = memory/use, Memory
	}
	return out
}

const (
	// maxBatch and maxRate keep the numbers finite for models without tokens or times.
	maxBatch = 1e9
	maxRate  = 1e12
)

// firstLimit lowers a limit to that of the engines that hold the first layer, each of which has a limited number of
// slots.
func (b *bounder) firstLimit(l Limit, limits []EngineLimit, paths *paths) Limit {
	if b.model.Slots <= 0 {
		return l
	}
	first := Limit{Layers: []ferryid.LayerRange{{To: 1}}}
	for _, e := range limits {
		if e.Engine.Held.From > 0 || e.Engine.Held.Len() == 0 {
			continue
		}
		if rate := float64(b.model.Slots) / (b.steps * paths.through(e.Engine, 0)); rate < e.Rate {
			e.Rate, e.Resource = rate, Slots
		}
		first.Streams += e.Rate
		first.Engines = append(first.Engines, e)
	}
	if first.Streams < l.Streams*(1-rateTolerance) {
		return first
	}
	return l
}

// best returns the limit of engines over all placements.
func (b *bounder) best(engines []*Engine) Limit {
	layers, capacity, memory, fastest := b.model.Layers, 0, 0.0, math.Inf(1)
	for _, e := range engines {
		if b.model.LayerSize > 0 {
			capacity += int(e.Accelerator.Memory / b.model.LayerSize)
		}
		memory += float64(b.model.RequestMemory(e.Accelerator, 0))
		fastest = min(fastest, b.tokenTime(e.Accelerator))
	}
	if capacity < layers {
		return Limit{}
	}
	memory -= float64(b.model.LayerSize) * float64(layers) * bytesPerMegabyte * float64(layers) / float64(b.model.TokenBytes)
	out := Limit{}
	sum := 0.0
	var supplies []supply
	for _, e := range engines {
		l := b.engineLimit(e, float64(b.model.RequestMemory(e.Accelerator, 1)), 1, b.tokenTime(e.Accelerator)+float64(layers-1)*fastest)
		out.Engines = append(out.Engines, l)
		supplies = append(supplies, supply{layers: ferryid.LayerRange{To: ferryid.Layer(layers)}, rate: l.Rate})
		sum += l.Rate
	}
	out.Streams = sum / float64(layers)
	if rate := b.sharedRate(out.Engines, supplies, memory/float64(layers), out.Streams); rate < out.Streams*(1-rateTolerance) {
		return Limit{Streams: rate, SharedMemory: true}
	}
	return out
}

// ranges returns the ranges of a set of layers.
func ranges(set []bool) []ferryid.LayerRange {
	var out []ferryid.LayerRange
	for l, in := range set {
		switch {
		case !in:
		case l > 0 && set[l-1]:
			out[len(out)-1].To++
		default:
			out = append(out, ferryid.LayerRange{From: ferryid.Layer(l), To: ferryid.Layer(l + 1)})
		}
	}
	return out
}
