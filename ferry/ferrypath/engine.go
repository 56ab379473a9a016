package ferrypath

import (
	"time"

	"cactusferry.dev/ferry/ferryconfig"
	"cactusferry.dev/ferry/ferrydiscovery"
	"cactusferry.dev/ferry/ferryhealth"
)

// engine is what this entry knows of one engine.
type engine struct {
	up     *ferrydiscovery.Upstream
	kind   ferryconfig.Accelerator
	health ferryhealth.Health
	// running and held are what this entry's generations have there: their number, and their memory in tokens times layers.
	running int
	held    int64
	// down says that the engine answers no more; it is usable again once it does.
	down   bool
	downAt time.Time
	// reported is what the engine last said of itself, with what this entry had there at that time.
	reported Condition
	at       time.Time
	heldThen int64
	ranThen  int
}

// Condition is what an engine says of itself.
type Condition struct {
	// Pace is above 1 while the engine is slower than its kind.
	Pace    float64
	Running int
	// Used and Room are memory for requests, in tokens times layers.
	Used, Room int64
}

// conditionAge is how long an engine's word on itself is believed.
const conditionAge = 4 * time.Second

// known reports whether the engine has said something of itself of late.
func (e *engine) known(now time.Time) bool {
	return !e.at.IsZero() && now.Sub(e.at) < conditionAge
}

// pace is how much slower the engine is than its kind.
func (e *engine) pace(now time.Time) float64 {
	if !e.known(now) {
		return 1
	}
	return max(1, e.reported.Pace)
}

// room is the memory beside the layers, in tokens times layers.
func room(m *ferryconfig.Model, kind ferryconfig.Accelerator, layers int) int64 {
	free := float64(kind.Memory) - float64(layers)*float64(m.LayerSize)
	perTokenLayer := float64(m.TokenBytes) / float64(m.Layers)
	if free <= 0 || perTokenLayer <= 0 {
		return 0
	}
	return int64(free * bytesPerMegabyte / perTokenLayer)
}

const bytesPerMegabyte = 1e6

// tokenTime is how long one token takes through all the layers that an engine holds while it runs so many generations.
func tokenTime(m *ferryconfig.Model, kind ferryconfig.Accelerator, layers, running int) time.Duration {
	share := float64(layers) / float64(m.Layers)
	context := float64(m.ContextTime) * float64(m.UsualPrompt+m.UsualAnswer/2) / 1000
	step := float64(m.StepTime) + float64(running)*(float64(m.RequestTime)+context)
	return time.Duration(step * kind.StepFactor * share)
}
