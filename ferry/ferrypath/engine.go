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
