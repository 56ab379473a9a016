package main

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"
)

// figure is one measure of one point for both policies on the same arrivals.
type figure struct {
	Point    string  `json:"Point"`
	Measure  string  `json:"Measure"`
	Unit     string  `json:"Unit"`
	Target   target  `json:"Target"`
	Baseline float64 `json:"Baseline"`
	Now      float64 `json:"Now"`
	Met      bool    `json:"Met"`
	Workload string  `json:"Workload"`
	Seed     uint64  `json:"Seed"`
	Command  string  `json:"Command"`
}

// target is the required bound of a measure; a measure without a target has an empty Op.
type target struct {
	Op    string  `json:"Op"`
	Bound float64 `json:"Bound"`
}

func atMost(x float64) target  { return target{Op: "<=", Bound: x} }
func atLeast(x float64) target { return target{Op: ">=", Bound: x} }

func (t target) met(x float64) bool {
	switch t.Op {
	case "<=":
		return x <= t.Bound
	case ">=":
		return x >= t.Bound
	}
	return true
}

func (t target) text(unit string) string {
	if t.Op == "" {
		return "-"
	}
	return fmt.Sprintf("%s %s", t.Op, formatValue(t.Bound, unit))
}

func formatValue(x float64, unit string) string {
	if math.IsNaN(x) {
		return "-"
	}
	if math.IsInf(x, 0) {
		return "never"
	}
	return fmt.Sprintf("%.4g %s", x, unit)
}

func (f *figure) verdict() string {
	switch {
	case f.Target.Op == "":
		return "-"
	case f.Met:
		return "met"
	}
	return "missed"
}

// writeTable writes the figures as a Markdown table with aligned columns.
func writeTable(w io.Writer, fs []figure) error {
	tw := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	fmt.Fprintln(tw, "| point\t| measure\t| target\t| baseline\t| now\t| verdict\t| command\t| seed\t|")
	fmt.Fprintln(tw, "|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|")
	for i := range fs {
		f := &fs[i]
		fmt.Fprintf(tw, "| %s\t| %s\t| %s\t| %s\t| %s\t| %s\t| `%s`\t| %d\t|\n",
			f.Point, f.Measure, f.Target.text(f.Unit), formatValue(f.Baseline, f.Unit), formatValue(f.Now, f.Unit), f.verdict(), f.Command, f.Seed)
	}
	return tw.Flush()
}
