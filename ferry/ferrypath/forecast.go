package ferrypath

import (
	"maps"
	"math"
	"slices"
	"time"

	"cactusferry.dev/ferry/ferryconfig"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypipeline"
)

const (
	// forecastParts is the number of equal parts into which the expected arrivals are divided; each part takes one path.
	forecastParts = 24
	// forecastInterval is how long a forecast is used. It is less than the interval of the engines' reports.
	forecastInterval = 250 * time.Millisecond
	// forecastHorizon is how far ahead the memory of engines is predicted: about the time until work that entries
	// start now is in the reports of all.
	forecastHorizon = time.Second
	// rateTime is the time constant of the arrival rate and the mean work.
	rateTime = 5 * time.Second
	// minRateTime is the least time over which the first arrivals are averaged.
	minRateTime = 500 * time.Millisecond
	// forecastTries is the number of parts that are tried for a generation before the engines are searched for it.
	forecastTries = 4
	// forecastMargin is the part of an engine's memory that the forecast leaves free, in standard deviations of the number
	// of generations on it: each entry selects at random.
	forecastMargin = 2
	// minForecastDuration bounds the predicted duration of a generation from below.
	minForecastDuration = 300 * time.Millisecond
	// defaultStretch is the assumed ratio of a generation's duration to the token times of its engines, until some have
	// ended: prefill and waiting for batches add to them. maxStretch bounds the measured one.
	defaultStretch = 1.5
	maxStretch     = 100
)

// scarceFill is the reported fill of the engines below which work without a path in the forecast is not refused: the
// forecast follows an estimate of the arrivals, which may be too high.
const scarceFill = 0.8

// arrivals estimates the rate and the mean size of this entry's generations by exponentially decaying sums.
type arrivals struct {
	count, tokens float64
	since, at     time.Time
}

func (a *arrivals) decay(now time.Time) {
	if dt := now.Sub(a.at); dt > 0 {
		f := math.Exp(-dt.Seconds() / rateTime.Seconds())
		a.count, a.tokens, a.at = a.count*f, a.tokens*f, now
	}
}

func (a *arrivals) add(w Work, now time.Time) {
	if a.since.IsZero() {
		a.since, a.at = now, now
	}
	a.decay(now)
	a.count++
	a.tokens += float64(w.Prompt + w.Answer)
}

// perSecond returns the arrival rate.
func (a *arrivals) perSecond(now time.Time) float64 {
	if a.since.IsZero() {
		return 0
	}
	a.decay(now)
	seen := 1 - math.Exp(-max(minRateTime, now.Sub(a.since)).Seconds()/rateTime.Seconds())
	return a.count / (rateTime.Seconds() * seen)
}

// meanTokens returns the mean size of a generation, or usual if there were none.
func (a *arrivals) meanTokens(usual float64) float64 {
	if a.count < 1 {
		return usual
	}
	return a.tokens / a.count
}

// forecast distributes the generations that all entries of a failure domain are expected to start over paths.
//
// Entries see each other's work only in the engines' reports, up to a second late. If each selected the best path
// by these reports, all would select the same one until the next report. Instead each computes, from the same
// reports, how the arrivals of the whole failure domain fill the engines, and selects one of the resulting paths at
// random.
type forecast struct {
	at    time.Time
	model *ferryconfig.Model
	// plans has a path for each part of the arrivals that fits. Parts beyond forecastParts-len(plans) do not.
	plans []ferrypipeline.Plan
	// rates are the predicted starts per second on each engine.
	rates map[ferryid.UpstreamName]float64
	// used is the predicted memory of each engine, in tokens times layers.
	used []float64
	// tokens is the mean size of a generation, at least 1.
	tokens float64
}

// pickForecast selects a path of the forecast for the work. It reports false if none can be used, and ErrNoForecastRoom if
// the forecast has no room for the work and more urgent work may need what is left.
func (c *Chooser) pickForecast(w Work, now time.Time) (*Run, bool, error) {
	// One that no engine has memory for would raise the mean size until the forecast has room for none.
	if !w.Counted && (c.largestWork == 0 || w.Prompt+w.Answer <= c.largestWork) {
		c.arrivals.add(w, now)
	}
	f := c.updateForecast(now)
	for range forecastTries {
		i := int(c.uniform() * forecastParts)
		if i >= len(f.plans) {
			if c.uniform() >= w.Urgency && c.updateRoom(now).Fill >= scarceFill {
				return nil, false, ErrNoForecastRoom
			}
			break
		}
		if !c.allUsable(&f.plans[i], w, now) {
			continue
		}
		if run, err := c.begin(&f.plans[i], w); err == nil {
			run.forecast = true
			return run, true, nil
		}
	}
	return nil, false, nil
}

// allUsable reports whether all engines of a plan may be selected for the work now. The forecast is one of generations of
// the mean size; an engine of its paths may be too small for a larger one.
func (c *Chooser) allUsable(plan *ferrypipeline.Plan, w Work, now time.Time) bool {
	for i := range plan.Stages {
		e := c.byName[plan.Stages[i].Name]
		if e == nil || e.down || e.up.Deferred(now) || !e.health.Usable(now, true) || excluded(w.Avoid, e) {
			return false
		}
		held, needed := e.up.Layers, plan.Stages[i].Layers
		if needed.From < held.From || needed.To > held.To {
			return false
		}
		if int64(w.Prompt+w.Answer)*int64(needed.Len()) > c.totalMemory(e, now) {
			return false
		}
	}
	return true
}

// updateForecast returns the forecast, computed anew if it is old or the model has changed. It is kept while engines
// change, which in large fleets they do more often than forecastInterval; allUsable leaves out the paths of those.
func (c *Chooser) updateForecast(now time.Time) *forecast {
	f := &c.forecast
	if f.model == c.model && !f.at.IsZero() && now.Sub(f.at) < forecastInterval {
		return f
	}
	f.at, f.model = now, c.model
	f.tokens = max(1, c.arrivals.meanTokens(c.model.UsualPrompt+c.model.UsualAnswer))
	c.predictUsed(f, now)
	f.plans = f.plans[:0]
	f.rates = make(map[ferryid.UpstreamName]float64, len(c.engines))
	left := c.placeParts(f, c.opts.Domain, now)
	if left > 0 {
		c.placeOverflow(f, left, now)
	}
	return f
}

// placeParts places the arrivals of a failure domain on its own engines and returns the number of parts that do not
// fit.
func (c *Chooser) placeParts(f *forecast, d ferryid.DomainName, now time.Time) (left int) {
	for i := range forecastParts {
		if !c.placePart(f, d, d, now) {
			return forecastParts - i
		}
	}
	return 0
}

// placeOverflow places the parts that do not fit in this failure domain in others, beside the arrivals there. A path
// lies in one domain: only the caller's request and the events then cross, not the state between layers.
func (c *Chooser) placeOverflow(f *forecast, own int, now time.Time) {
	domains := slices.Sorted(maps.Keys(c.entries))
	left := map[ferryid.DomainName]int{c.opts.Domain: own}
	for _, d := range domains {
		if d != c.opts.Domain {
			left[d] = c.placeParts(f, d, now)
		}
	}
	// Parts of a failure domain are of one size and used memory only grows, so one that didn't fit is not tried again.
	full := map[[2]ferryid.DomainName]bool{}
	for placed := true; placed && left[c.opts.Domain] > 0; {
		placed = false
		for _, d := range domains {
			if left[d] > 0 && c.placeElsewhere(f, d, domains, full, now) {
				left[d]--
				placed = true
			}
		}
	}
}

// placeElsewhere places a part of a failure domain's arrivals in another one and reports whether it fits. It records in
// full the pairs of domains of which the second has no room for parts of the first.
func (c *Chooser) placeElsewhere(f *forecast, from ferryid.DomainName, domains []ferryid.DomainName, full map[[2]ferryid.DomainName]bool, now time.Time) bool {
	for _, d := range domains {
		pair := [2]ferryid.DomainName{from, d}
		if d == from || full[pair] {
			continue
		}
		if c.placePart(f, from, d, now) {
			return true
		}
		full[pair] = true
	}
	return false
}

// predictUsed predicts the memory that present generations need at the horizon.
func (c *Chooser) predictUsed(f *forecast, now time.Time) {
	f.used = f.used[:0]
	for _, e := range c.engines {
		layers := float64(e.up.Layers.Len())
		started := f.rates[ferryid.UpstreamName(e.up.Name)] * f.tokens * layers
		d := c.meanDuration().Seconds()
		if !e.reportFresh(now) || e.reported.Room == 0 {
			f.used = append(f.used, started*d*math.Exp(-forecastHorizon.Seconds()/d))
			continue
		}
		used := float64(e.reported.Used) + expectedGrowth*c.model.UsualAnswer*layers*float64(e.reported.Running)
		age := (max(0, now.Sub(e.reportedAt)) + c.model.ReportLag).Seconds()
		kept := math.Exp(-age / d)
		atNow := used*kept + started*d*(1-kept)
		f.used = append(f.used, atNow*math.Exp(-forecastHorizon.Seconds()/d))
	}
}

// placePart adds the best path in a failure domain for one part of the arrivals of another or the same one, counts its
// memory, and reports whether it fits. It keeps the paths of this entry's failure domain.
func (c *Chooser) placePart(f *forecast, from, in ferryid.DomainName, now time.Time) bool {
	part := c.arrivals.perSecond(now) * float64(max(1, c.entries[from])) / forecastParts
	for i, e := range c.engines {
		c.loadForPart(i, e, f, part, in, now)
	}
	plan := ferrypipeline.Plan{}
	if err := c.planner.Choose(c.loads, nil, max(1, ferryid.Tokens(c.model.UsualAnswer)), &plan); err != nil {
		return false
	}
	d := c.planDuration(&plan).Seconds()
	held := part * d * (1 - math.Exp(-forecastHorizon.Seconds()/d)) * f.tokens
	for i := range plan.Stages {
		s := &plan.Stages[i]
		f.rates[s.Name] += part
		f.used[c.indexOf[s.Name]] += held * float64(s.Layers.Len())
	}
	if from == c.opts.Domain {
		f.plans = append(f.plans, plan)
	}
	return true
}

// loadForPart updates the planner's load of one engine for a part of the arrivals, in generations per second.
func (c *Chooser) loadForPart(i int, e *engine, f *forecast, part float64, in ferryid.DomainName, now time.Time) {
	l := &c.loads[i]
	if e.up.FailureDomain != in || e.down {
		l.Avoid = true
		return
	}
	layers := float64(e.up.Layers.Len())
	room := float64(c.totalMemory(e, now))
	one := f.tokens * layers
	needed := max(one, part*c.meanDuration().Seconds()*one)
	l.Avoid = e.up.Deferred(now) || e.pace(now) >= slowPace || !e.health.Usable(now, true) ||
		f.used[i]+needed > room-forecastMargin*math.Sqrt(room*one)
	t := time.Duration(float64(c.model.TokenTime(e.kind, int(layers), int(f.used[i]/one)+1)) * e.pace(now))
	l.Rate = ferryid.TokensPerSecond(1 / max(t, minTokenTime).Seconds())
}

// totalMemory returns the used and free memory of an engine for requests, in tokens times layers.
func (c *Chooser) totalMemory(e *engine, now time.Time) int64 {
	if !e.reportFresh(now) || e.reported.Room == 0 {
		return c.model.RequestMemory(e.kind, e.up.Layers.Len())
	}
	return e.reported.Room
}

// planDuration predicts the duration of a generation of usual length on a plan.
func (c *Chooser) planDuration(p *ferrypipeline.Plan) time.Duration {
	var sum time.Duration
	for i := range p.Stages {
		j := c.indexOf[p.Stages[i].Name]
		sum += time.Duration(p.Stages[i].Share/float64(c.loads[j].Rate)*float64(time.Second)) + hopTime
	}
	return max(minForecastDuration, time.Duration(c.meanStretch()*float64(sum)*c.model.UsualAnswer))
}

// meanStretch returns the mean ratio of the durations of generations to the token times of their engines.
func (c *Chooser) meanStretch() float64 {
	if c.stretch == 0 {
		return defaultStretch
	}
	return c.stretch
}

// tokenTimes returns the time of a generation's tokens on its engines, without prefill and waiting.
func (c *Chooser) tokenTimes(p *Path, w Work, now time.Time) time.Duration {
	var sum time.Duration
	for _, h := range p.hops {
		if e := c.byName[ferryid.UpstreamName(h.Upstream.Name)]; e != nil {
			sum += c.model.TokenTime(e.kind, h.Layers.Len(), c.running(e, now)) + hopTime
		}
	}
	return sum * time.Duration(max(1, w.Answer))
}

// meanDuration returns the mean duration of the forecast's generations.
func (c *Chooser) meanDuration() time.Duration {
	if c.duration == 0 {
		return defaultDuration
	}
	return c.duration
}

// defaultDuration is assumed until a generation has ended.
const defaultDuration = 2 * time.Second

// durationWeight is the inverse weight of the newest duration in the moving average.
const durationWeight = 16

// recordDuration adds the duration of a completed generation to the moving averages.
func (c *Chooser) recordDuration(d, tokenTimes time.Duration) {
	c.duration = max(minForecastDuration, c.meanDuration()+(d-c.meanDuration())/durationWeight)
	if tokenTimes > 0 {
		s := min(maxStretch, d.Seconds()/tokenTimes.Seconds())
		c.stretch = max(1, c.meanStretch()+(s-c.meanStretch())/durationWeight)
	}
}
