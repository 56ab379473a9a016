package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"cactusferry.dev/ferrystand/ferryproof"
)

const proofHelp = `Runs the fault test of each guarantee with real processes: it injects faults and
compares the outcomes reported to callers with the runs recorded by the
upstreams. It checks safety and the stated time limits. The exit status is 0
only if every case passed.

Examples:

    ferrystand proof --programs bin
    ferrystand proof --programs bin --case once --seed 3
    ferrystand proof --programs bin --case together --runs 5`

type proofCommand struct {
	Programs string   `long:"programs" default:"bin" description:"directory of ferryd, ferryctl and ferrystand"`
	Cases    []string `long:"case" description:"run only this case; may be given more than once"`
	Seed     uint64   `long:"seed" default:"1" description:"seed of the random choices"`
	Runs     uint64   `long:"runs" default:"1" description:"number of runs of each case; each run increments the seed"`
}

func init() {
	subcommands = append(subcommands, func(p *flags.Parser) error {
		_, err := p.AddCommand("proof", "inject faults and check the guarantees", proofHelp, &proofCommand{})
		return err
	})
}

func (c *proofCommand) selected(name string) bool {
	for _, n := range c.Cases {
		if n == name {
			return true
		}
	}
	return len(c.Cases) == 0
}

// Execute runs the selected cases.
func (c *proofCommand) Execute([]string) error {
	failed := 0
	for _, cs := range ferryproof.Cases {
		if !c.selected(cs.Name) {
			continue
		}
		fmt.Printf("== %s: %s\n    %s\n", cs.Name, cs.Guarantee, cs.Faults)
		for n := range c.Runs {
			if !c.runCase(cs, c.Seed+n) {
				failed++
			}
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d runs of fault tests failed", failed)
	}
	return nil
}

// runCase runs a case with one seed and prints the result, with the
// command to repeat a failed run. It reports whether it passed.
func (c *proofCommand) runCase(cs ferryproof.Case, seed uint64) bool {
	r := cs.Run(context.Background(), os.Stdout, c.Programs, seed)
	took := r.Took.Round(time.Millisecond)
	if r.Err != nil {
		fmt.Printf("    seed %d FAILED after %s: %v\n    again: ferrystand proof --case %s --seed %d\n", seed, took, r.Err, cs.Name, seed)
		return false
	}
	fmt.Printf("    seed %d passed in %s\n", seed, took)
	return true
}
