package ferrypath

import (
	"time"

	"cactusferry.dev/ferry/ferryconfig"
	"cactusferry.dev/ferry/ferrydiscovery"
	"cactusferry.dev/ferry/ferryhealth"
)

// engine is the state of one engine as this entry sees it.
type engine struct {
	up     *ferrydiscovery.Upstream
	kind   ferryconfig.Accelerator
	health ferryhealth.Health
	// running is the number of this entry's generations on the engine. held is the memory that they
	// need, in tokens times layers.
	running int
	held    int64
	// down is set while the engine does not answer, and downAt is the time since which it is set.
	down   bool
	downAt time.Time
	// reported is the engine's last report; heldAtReport and runningAtReport are held and running at that time.
	reported        Condition
	reportedAt      time.Time
	heldAtReport    int64
	runningAtReport int
	moveRefusals    moveRefusals
	movesDraw       movesDraw
}

// Condition is an engine's report of its load.
type Condition struct {
	// Pace is the slowdown relative to the nominal speed of the engine's accelerator; 1 is nominal.
	Pace    float64
	Running int
	// Used and Room are the used and the total memory for requests, in tokens times layers.
	Used, Room int64
}

// reportTTL is how long an engine's report is used.
const reportTTL = 4 * time.Second

// reportFresh reports whether the engine's last report is recent enough to be used.
func (e *engine) reportFresh(now time.Time) bool {
	return !e.reportedAt.IsZero() && now.Sub(e.reportedAt) < reportTTL
}

// pace returns the slowdown of the engine, 1 if there is no recent report.
func (e *engine) pace(now time.Time) float64 {
	if !e.reportFresh(now) {
		return 1
	}
	return max(1, e.reported.Pace)
}

// requestMemory returns the memory left beside the layers, in tokens times layers.
func requestMemory(m *ferryconfig.Model, kind ferryconfig.Accelerator, layers int) int64 {
	free := float64(kind.Memory) - float64(layers)*float64(m.LayerSize)
	perTokenLayer := float64(m.TokenBytes) / float64(m.Layers)
	if free <= 0 || perTokenLayer <= 0 {
		return 0
	}
	return int64(free * bytesPerMegabyte / perTokenLayer)
}

const bytesPerMegabyte = 1e6

// tokenTime returns the time of one token through the engine's layers with the given
// number of running generations.
func tokenTime(m *ferryconfig.Model, kind ferryconfig.Accelerator, layers, running int) time.Duration {
	share := float64(layers) / float64(m.Layers)
	context := float64(m.ContextTime) * float64(m.UsualPrompt+m.UsualAnswer/2) / 1000
	step := float64(m.StepTime) + float64(running)*(float64(m.RequestTime)+context)
	return time.Duration(step * kind.StepFactor * share)
}
