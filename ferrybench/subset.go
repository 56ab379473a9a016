package main

import (
	"fmt"
	"time"

	"github.com/jessevdk/go-flags"

	"cactusferry.dev/ferry/ferrysubset"
	"cactusferry.dev/ferrybench/ferrychoice"
)

const subsetHelp = `Compares ways of choosing engines on a virtual clock: one entry that knows all,
every entry working all engines, and subsets of several sizes. It opens no connection.

    ferrybench subset
    ferrybench subset --fleet 350x1600 --size 32 --reads 10`

type subsetCommand struct {
	Fleets   []string      `long:"fleet" default:"9x40" default:"30x150" default:"350x1600" description:"entries x engines"`
	Sizes    []int         `long:"size" default:"16" default:"32" default:"64" description:"mean size of a subset"`
	Copies   []int         `long:"copies" default:"4" description:"entries that work each engine at the least"`
	Reads    []float64     `long:"reads" default:"10" description:"engines that an entry reads a second"`
	Load     float64       `long:"load" default:"0.85" description:"share of the capacity of the run with arrivals"`
	Skew     float64       `long:"skew" description:"how unevenly arrivals come to the entries, as the deviation of the logarithm of their parts"`
	Slots    int           `long:"slots" default:"4" description:"answers open a chain in the run that is always full"`
	Credit   int           `long:"credit" description:"streams that an engine takes at once, shared by the entries that work it; 0 for no bound"`
	Duration time.Duration `long:"duration" default:"60s" description:"virtual time of a run"`
	Seed     uint64        `long:"seed" default:"1" description:"seed"`
}

func init() {
	subcommands = append(subcommands, func(p *flags.Parser) error {
		_, err := p.AddCommand("subset", "weigh subsets of the engines", subsetHelp, &subsetCommand{})
		return err
	})
}

// way is one row of the comparison.
type way struct {
	name string
	cfg  ferrychoice.Config
}

// Execute runs and prints.
func (c *subsetCommand) Execute([]string) error {
	fmt.Println("| entries | engines | way | engines an entry (least, most) | least entries an engine | reports replaced after | share of capacity when full | median, p99 at the load |")
	fmt.Println("|---|---|---|---|---|---|---|---|")
	for _, f := range c.Fleets {
		var entries, engines int
		if _, err := fmt.Sscanf(f, "%dx%d", &entries, &engines); err != nil {
			return fmt.Errorf("fleet %q: %w", f, err)
		}
		for _, w := range c.ways(entries, engines) {
			if err := c.row(entries, w); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *subsetCommand) ways(entries, engines int) []way {
	base := ferrychoice.Config{
		Entries: entries, Engines: engines, Parts: 4, Domains: min(8, max(3, entries/4)),
		Subset: ferrysubset.Config{AllUpTo: engines}, Skew: c.Skew, Slots: c.Slots, Credit: c.Credit, Duration: c.Duration, Seed: c.Seed, Reports: ferrychoice.None,
	}
	one, all := base, base
	one.Entries = 1
	all.Reports = ferrychoice.Shared
	out := []way{{"one entry that knows all", one}, {"all, no reports", base}, {"all, reports passed on", all}}
	out = append(out, c.read("all", base)...)
	for _, size := range c.Sizes {
		for _, copies := range c.Copies {
			if size >= engines {
				continue
			}
			sub := base
			sub.Subset = ferrysubset.Default
			sub.Subset.AllUpTo, sub.Subset.Size, sub.Subset.Entries = size, size, copies
			name := fmt.Sprintf("subset of %d, %d entries an engine", size, copies)
			out = append(out, way{name + ", no reports", sub})
			out = append(out, c.read(name, sub)...)
		}
	}
	return out
}

// read are the ways in which entries read the engines themselves.
func (c *subsetCommand) read(name string, cfg ferrychoice.Config) []way {
	var out []way
	for _, reads := range c.Reads {
		cfg.Reports, cfg.ReadsPerSecond = ferrychoice.Direct, reads
		out = append(out, way{fmt.Sprintf("%s, %g read a second", name, reads), cfg})
	}
	return out
}

func (c *subsetCommand) row(entries int, w way) error {
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
		return fmt.Errorf("%d calls found no chain", n)
	}
	return nil
}
