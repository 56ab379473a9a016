package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"github.com/ansel1/merry/v2"
	"github.com/jessevdk/go-flags"

	"cactusferry.dev/ferrybench/ferryexperiment"
	"cactusferry.dev/ferrybench/ferryreport"
)

func init() { subcommands = append(subcommands, addPolicy) }

// policyCommand measures the baseline and the present policy on a virtual clock.
type policyCommand struct {
	Points    []int    `long:"point" description:"measure only the point with this number; may be given again"`
	Workloads []string `long:"workload" description:"run this workload instead: a file or the name of an embedded workload; may be given again"`
	Out       string   `long:"out" default:"out" description:"directory for the JSON reports and plots; empty for none"`
}

func addPolicy(p *flags.Parser) error {
	_, err := p.AddCommand("policy", "measure the queueing and routing policies on a virtual clock",
		`Runs the queueing and routing code of ferryd with generated arrivals and simulated runners. The baseline (FIFO queue and
random choice) and the present policy run on the same arrivals. Prints a table of the stated targets. It opens no
connections.

Examples:
  ferrybench policy                          all points
  ferrybench policy --point 1 --point 5      two of them
  ferrybench policy --workload stoyanovi     one workload, with latencies by kind of call and customer
  ferrybench policy --workload ./mine.toml --out /tmp/out`, &policyCommand{})
	return err
}

// Execute runs the selected points or workloads and prints their reports.
func (c *policyCommand) Execute([]string) error {
	if len(c.Workloads) > 0 {
		return c.runWorkloads()
	}
	var all []figure
	for _, p := range points {
		if len(c.Points) > 0 && !slices.Contains(c.Points, p.number) {
			continue
		}
		fs, rs, err := measurePoint(p)
		if err != nil {
			return err
		}
		all = append(all, fs...)
		if err := c.save(p.workload, rs); err != nil {
			return err
		}
	}
	return writeTable(os.Stdout, all)
}

func (c *policyCommand) runWorkloads() error {
	for _, name := range c.Workloads {
		w, err := readWorkload(name)
		if err != nil {
			return err
		}
		as := w.Arrivals()
		var rs []*ferryexperiment.Result
		for _, p := range []ferryexperiment.Policy{ferryexperiment.Baseline, ferryexperiment.Present} {
			r := ferryexperiment.Run(w, as, p)
			rs = append(rs, r)
			if err := ferryreport.WriteText(os.Stdout, r); err != nil {
				return merry.Prepend(err, "print text report")
			}
		}
		if err := c.save(w.Name, rs); err != nil {
			return err
		}
	}
	return nil
}

func (c *policyCommand) save(name string, rs []*ferryexperiment.Result) error {
	if c.Out == "" {
		return nil
	}
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return merry.Prepend(err, "create directory for reports")
	}
	for _, r := range rs {
		if err := ferryreport.WriteJSON(filepath.Join(c.Out, fmt.Sprintf("%s-%s.json", name, r.Policy.Name)), r); err != nil {
			return merry.Prepend(err, "write JSON report")
		}
	}
	return merry.Prepend(ferryreport.Plot(c.Out, name, rs), "draw plots")
}
