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
