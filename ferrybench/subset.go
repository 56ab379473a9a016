package main

import (
	"fmt"
	"time"

	"github.com/jessevdk/go-flags"

	"cactusferry.dev/ferry/ferrysubset"
	"cactusferry.dev/ferrybench/ferrychoice"
)

const subsetHelp = `Compares how entries choose engines, simulated on a virtual clock: one entry with
a complete view, all entries using all engines, and subsets of several sizes. It
opens no connections.

    ferrybench subset
    ferrybench subset --fleet 350x1600 --size 32 --reads 10`

type subsetCommand struct {
	Fleets   []string      `long:"fleet" default:"9x40" default:"30x150" default:"350x1600" description:"number of entries x number of engines; may be given again"`
	Sizes    []int         `long:"size" default:"16" default:"32" default:"64" description:"mean number of engines of a subset; may be given again"`
	Copies   []int         `long:"copies" default:"4" description:"minimum number of entries that use each engine; may be given again"`
	Reads    []float64     `long:"reads" default:"10" description:"engines that an entry reads per second; may be given again"`
	Load     float64       `long:"load" default:"0.85" description:"offered load of the run with arrivals as a share of the capacity"`
	Skew     float64       `long:"skew" description:"standard deviation of the logarithm of the entries' shares of the arrivals; 0 distributes them evenly"`
	Slots    int           `long:"slots" default:"4" description:"answers open per chain in the saturated run"`
	Credit   int           `long:"credit" description:"concurrent streams of an engine, shared by the entries that use it; 0 for no limit"`
	Duration time.Duration `long:"duration" default:"60s" description:"virtual duration of a run"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of the random numbers"`
}

func init() {
	subcommands = append(subcommands, func(p *flags.Parser) error {
		_, err := p.AddCommand("subset", "compare subsets of the engines", subsetHelp, &subsetCommand{})
		return err
	})
}

// scheme is one row of the comparison: a name and the configuration of its runs.
type scheme struct {
	name string
	cfg  ferrychoice.Config
}

// Execute runs the simulations and prints the table.
func (c *subsetCommand) Execute([]string) error {
	fmt.Println("| entries | engines | way | engines an entry (least, most) | least entries an engine | reports replaced after | share of capacity when full | median, p99 at the load |")
	fmt.Println("|---|---|---|---|---|---|---|---|")
	for _, f := range c.Fleets {
		var entries, engines int
		if _, err := fmt.Sscanf(f, "%dx%d", &entries, &engines); err != nil {
			return fmt.Errorf("parse fleet %q, want ENTRIESxENGINES: %w", f, err)
		}
		for _, w := range c.schemes(entries, engines) {
			if err := c.row(entries, w); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *subsetCommand) schemes(entries, engines int) []scheme {
	base := ferrychoice.Config{
		Entries: entries, Engines: engines, Parts: 4, Domains: min(8, max(3, entries/4)),
		Subset: ferrysubset.Config{AllUpTo: engines}, Skew: c.Skew, Slots: c.Slots, Credit: c.Credit, Duration: c.Duration, Seed: c.Seed, Reports: ferrychoice.None,
	}
	one, all := base, base
	one.Entries = 1
	all.Reports = ferrychoice.Shared
	out := []scheme{{"one entry that knows all", one}, {"all, no reports", base}, {"all, reports passed on", all}}
	out = append(out, c.readSchemes("all", base)...)
	for _, size := range c.Sizes {
		for _, copies := range c.Copies {
			if size >= engines {
				continue
			}
			sub := base
			sub.Subset = ferrysubset.Default
			sub.Subset.AllUpTo, sub.Subset.Size, sub.Subset.Entries = size, size, copies
			name := fmt.Sprintf("subset of %d, %d entries an engine", size, copies)
			out = append(out, scheme{name + ", no reports", sub})
			out = append(out, c.readSchemes(name, sub)...)
		}
	}
	return out
}

// readSchemes returns the ways in which entries read the engines directly, one per value of --reads.
func (c *subsetCommand) readSchemes(name string, cfg ferrychoice.Config) []scheme {
	var out []scheme
	for _, reads := range c.Reads {
		cfg.Reports, cfg.ReadsPerSecond = ferrychoice.Direct, reads
		out = append(out, scheme{fmt.Sprintf("%s, %g read a second", name, reads), cfg})
	}
	return out
}

func (c *subsetCommand) row(entries int, w scheme) error {
	full, err := ferrychoice.Run(w.cfg)
	if err != nil {
		return err
	}
	w.cfg.Load = c.Load
	open, err := ferrychoice.Run(w.cfg)
	if err != nil {
		return err
	}
	fmt.Printf("| %d | %d | %s | %.1f (%d, %d) | %d | %s | %.1f%% | %s, %s |\n", entries, w.cfg.Engines, w.name, full.Subset, full.MinSubset, full.MaxSubset,
		full.MinEntries, full.ReportAge.Round(100*time.Millisecond), 100*full.Utilization, open.Median.Round(10*time.Millisecond), open.P99.Round(10*time.Millisecond))
	if n := full.Failed + open.Failed; n > 0 {
		return fmt.Errorf("run simulation: %d calls failed because no chain of engines was available, want 0", n)
	}
	return nil
}
