package ferrycapacity

import (
	"fmt"
	"io"
	"time"
)

// The planned size and rates of change; they are those of docs/CAPACITY.md.
const (
	planNodes          = 350
	planRunners        = 1600
	planChangesPerDay  = 1100
	planRestartsPerDay = 383
	secondsPerDay      = 86400

	// The targets for the control overhead of a node.
	targetBytes       = 12 << 10
	targetCPU         = 0.012
	targetState       = 64 << 20
	targetPropagation = 19 * time.Second
)

// Print writes the points as a Markdown table, followed by the figures extrapolated to the planned size.
func (ps Points) Print(w io.Writer, rs Readings) {
	fmt.Fprintln(w, "| nodes | runners | links (most) | B/s at rest | messages/s | B/s with loads (most) | messages/s | core with loads | state KB | change everywhere (longest) | B a change of 16 KiB | of 512 KiB | B a restart | domain lost, seen by all | rejoined after a cut | B of rejoining (most in 1 s) | watches |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, p := range ps {
		fmt.Fprintf(w, "| %d | %d | %.1f (%d) | %.0f | %.1f | %.0f (%.0f) | %.1f | %.3f%% | %.0f | %s (%s) | %.0f | %.0f | %.0f | %s | %s | %.0f (%.0f) | %d |\n",
			p.Nodes, p.Runners, p.Links, p.MaxLinks, p.IdleBytes, p.IdleMessages, p.LoadBytes, p.MaxLoadBytes, p.LoadMessages,
			100*p.LoadCPU, p.StateBytes/1024, p.MedianPropagation, p.MaxPropagation, p.ChangeBytes, p.LargeBytes, p.RestartBytes,
			p.DomainLossDetection, p.RejoinTime, p.RejoinBytes, p.MaxRejoinBytes, p.Watches)
	}
	ps.printPlan(w, rs)
}

func (ps Points) printPlan(w io.Writer, rs Readings) {
	idle := ps.Fit(func(p Point) float64 { return p.IdleBytes })
	loads := ps.Fit(func(p Point) float64 { return p.LoadBytes })
	change := ps.Fit(func(p Point) float64 { return p.ChangeBytes })
	restart := ps.Fit(func(p Point) float64 { return p.RestartBytes })
	cpu := ps.Fit(func(p Point) float64 { return p.LoadCPU })
	state := ps.Fit(func(p Point) float64 { return p.StateBytes })
	propagation := ps.Fit(func(p Point) float64 { return p.MaxPropagation.Seconds() })
	changes := change.At(planNodes) * planChangesPerDay / secondsPerDay
	large := ps.Fit(func(p Point) float64 { return p.LargeBytes })
	largeChanges := large.At(planNodes) * planChangesPerDay / secondsPerDay
	restarts := restart.At(planNodes) * planRestartsPerDay / secondsPerDay
	reading := rs.at(planNodes)
	total := loads.At(planNodes) + reading + changes + restarts
	fmt.Fprintf(w, "\nAt %d nodes, %d runners, %d changes and %d restarts a day, by the lines through the points above:\n\n", planNodes, planRunners, planChangesPerDay, planRestartsPerDay)
	fmt.Fprintln(w, "| what | base | a node adds | at the planned size | target | met |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|")
	row(w, "B/s at rest", idle, idle.At(planNodes), targetBytes)
	row(w, "B/s with loads", loads, loads.At(planNodes), targetBytes)
	row(w, "B/s of reading engines, as measured", Line{Base: reading}, reading, targetBytes)
	row(w, "B/s of changes of 16 KiB, on the day's average", change, changes, targetBytes)
	row(w, "B/s of changes of 512 KiB, if all were so large", large, largeChanges, targetBytes)
	row(w, "B/s of restarts, on the day's average", restart, restarts, targetBytes)
	row(w, "B/s together, changes of 16 KiB", Line{}, total, targetBytes)
	row(w, "share of a core, in %", Line{Base: 100 * cpu.Base, Slope: 100 * cpu.Slope}, 100*cpu.At(planNodes), 100*targetCPU)
	row(w, "state in KB", Line{Base: state.Base / 1024, Slope: state.Slope / 1024}, state.At(planNodes)/1024, targetState/1024)
	row(w, "longest time to everywhere in s", propagation, propagation.At(planNodes), targetPropagation.Seconds())
}

func row(w io.Writer, quantity string, l Line, value, target float64) {
	met := "yes"
	if value > target {
		met = "no"
	}
	fmt.Fprintf(w, "| %s | %.4g | %.4g | %.4g | %.6g | %s |\n", quantity, l.Base, l.Slope, value, target, met)
}
