package ferryadmission

// Ramp sets the fills at which ranks are refused. The most urgent rank is refused with a probability that rises
// from 0 to 1 as the fill rises from Start to Start+Width; the ramp of each less urgent rank begins Step lower.
type Ramp struct {
	Start, Width, Step float64
	// Least is the lowest fill at which the ramp of any rank begins. With more ranks than fit above it, the ramps are
	// moved closer together.
	Least float64
	// Floor is the minimum admitted share of the ranks other than the most urgent. It is a share of tries: of callers
	// that try twice, 1-(1-Floor)^2 are admitted. No rank is admitted at a higher share than a more urgent one, so
	// the floor ends where the share of the most urgent rank falls below it.
	Floor float64
}

// DefaultRamp differs from the initial values of design 0017: it starts later, with smaller steps and a lower floor.
// Engines that are less full are left to refuse by themselves.
var DefaultRamp = Ramp{Start: 0.9, Width: 0.15, Step: 0.08, Least: 0.7, Floor: 0.25}

// maxFill is the upper bound of Start and Width, far above any fill that engines report.
const maxFill = 10

// bounded returns the ramp with impossible values replaced: by the defaults if Start or Width is not above 0 and at
// most maxFill, by the default Least if that one is not above 0 and at most Start, by the default Step or Floor if that
// one is not from 0 to 1.
func (r Ramp) bounded(ranks int) Ramp {
	if !(r.Start > 0 && r.Start <= maxFill && r.Width > 0 && r.Width <= maxFill) {
		r = DefaultRamp
	}
	if !(r.Step >= 0 && r.Step <= 1) {
		r.Step = DefaultRamp.Step
	}
	if !(r.Least > 0 && r.Least <= r.Start) {
		r.Least = min(r.Start, DefaultRamp.Least)
	}
	if !(r.Floor >= 0 && r.Floor <= 1) {
		r.Floor = DefaultRamp.Floor
	}
	if ranks > 1 {
		r.Step = min(r.Step, (r.Start-r.Least)/float64(ranks-1))
	}
	return r
}

// share returns the admitted share at a fill of a rank whose ramp begins a number of steps below that of the most urgent
// one, without regard to other ranks.
func (r Ramp) share(steps, fill float64) float64 {
	start := r.Start - r.Step*steps
	s := 1 - min(1, max(0, (fill-start)/r.Width))
	if steps > 0 {
		s = max(s, r.Floor)
	}
	return s
}
