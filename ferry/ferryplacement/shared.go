package ferryplacement

import (
	"cmp"
	"slices"

	"cactusferry.dev/ferry/ferryconfig"
)

// sharedRate returns the highest rate of streams per second, up to most, at which the least mean duration of all
// streams leaves each layer enough memory. Each layer has memory for the given number of tokens at once.
//
// A stream holds its tokens on all layers for as long as it runs, wherever it runs each layer. The time that its tokens
// spend on an engine grows with the rate of the engine, since it must then decode more streams in each step. The sum
// of these times is least if the engines with the least time for one more stream are used first: the supplies that can
// serve layers at the same time form a polymatroid, for which this greedy choice is optimal.
func (b *bounder) sharedRate(limits []EngineLimit, supplies []supply, tokens, most float64) float64 {
	classes := b.classes(limits)
	low, high := 0.0, most
	if b.leastTokens(classes, limits, supplies, high) <= tokens {
		return high
	}
	for range bisections {
		mid := (low + high) / 2
		if b.leastTokens(classes, limits, supplies, mid) <= tokens {
			low = mid
		} else {
			high = mid
		}
	}
	return high
}

const (
	// bisections is the number of halvings of the range in which a rate is searched. The upper end of the last
	// range is the result, so that it stays a bound.
	bisections = 24
	// rateSteps is the number of steps into which the rate of an engine is divided.
	rateSteps = 20
	// slopeShare is the part of a step over which a slope is taken.
	slopeShare = 0.01
)

// speed holds the factors of an accelerator type.
type speed struct {
	step, read float64
}

func speedOf(a ferryconfig.Accelerator) speed { return speed{step: a.StepFactor, read: a.ReadFactor} }

// class is one step of the rate of the engines of one speed.
type class struct {
	speed speed
	// from and to are rates of one engine, in streams times layers per second.
	from, to float64
	// tokens is the memory that one more stream in this step needs, in tokens times seconds for each of its layers.
	tokens float64
}

// classes returns the steps of the rates of all speeds, those with the least memory first.
func (b *bounder) classes(limits []EngineLimit) []class {
	seen := map[speed]bool{}
	var out []class
	for _, l := range limits {
		a := l.Engine.Accelerator
		if seen[speedOf(a)] {
			continue
		}
		seen[speedOf(a)] = true
		step := b.saturation(a) / rateSteps
		for i := range rateSteps {
			from := float64(i) * step
			// The excess is convex, so its slope below a step is at most that within it.
			slope := (b.excessTokens(a, from) - b.excessTokens(a, max(0, from-slopeShare*step))) / (slopeShare * step)
			out = append(out, class{speed: speedOf(a), from: from, to: from + step, tokens: b.heldTokens()*b.tokenTime(a) + slope})
		}
	}
	slices.SortFunc(out, func(x, y class) int {
		return cmp.Or(cmp.Compare(x.tokens, y.tokens), cmp.Compare(x.speed.step, y.speed.step), cmp.Compare(x.speed.read, y.speed.read), cmp.Compare(x.from, y.from))
	})
	return out
}

// saturation returns the rate, in streams times layers per second, that an engine reaches if its steps take no time but
// that of the requests.
func (b *bounder) saturation(a ferryconfig.Accelerator) float64 {
	return 1 / max(1/maxRate, b.model.PrefillTime(a, 1).Seconds()+b.steps*b.requestTime(a))
}

// requestTime returns the time that each request adds to a step of one layer, in seconds.
func (b *bounder) requestTime(a ferryconfig.Accelerator) float64 {
	return (b.model.TokenTime(a, 1, manyRequests) - b.model.TokenTime(a, 1, 0)).Seconds() / manyRequests
}

// manyRequests is a number of requests for which rounding changes the time of a step little.
const manyRequests = 1000

// excessTokens returns the memory that streams need beyond that of streams without others, in tokens for each layer, on
// an engine with the given rate.
//
// Prefill and the requests' part of the steps leave time for a limited number of steps. The more tokens a step has,
// the longer it takes for each of them; the total is least with steps of the same size. Each token counts with the
// memory of the prompt only.
func (b *bounder) excessTokens(a ferryconfig.Accelerator, rate float64) float64 {
	step, request := b.model.TokenTime(a, 1, 0).Seconds(), b.requestTime(a)
	decoded := rate * b.steps
	left := 1 - rate*b.model.PrefillTime(a, 1).Seconds() - decoded*request
	if left <= 0 {
		return 0
	}
	return max(0, decoded*request*(decoded*step/left-1)) * b.prompt
}

// leastTokens returns the least memory that streams of a rate need for each layer, in tokens.
func (b *bounder) leastTokens(classes []class, limits []EngineLimit, supplies []supply, rate float64) float64 {
	used := make([]supply, len(supplies))
	for i, s := range supplies {
		used[i].layers = s.layers
	}
	t := newTransport(b.model.Layers, used)
	sum, before := 0.0, 0.0
	for _, c := range classes {
		for i, l := range limits {
			if speedOf(l.Engine.Accelerator) == c.speed {
				used[i].rate += max(0, min(l.Rate, c.to)-c.from)
			}
		}
		t.set(used)
		served, failed := t.serve(rate)
		sum += (served - before) * c.tokens
		before = served
		if failed < 0 {
			break
		}
	}
	return sum
}
