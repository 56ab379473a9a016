package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"cactusferry.dev/ferrystand/ferryproof"
)

const proofHelp = `Runs each promise's case over real processes: failures are brought about and
what callers were told is compared with what the upstreams did. Safety and the
stated times are checked; the status is 0 only if every case passed.

Examples:

    ferrystand proof --programs bin
    ferrystand proof --programs bin --case once --seed 3`

type proofCommand struct {
	Programs string   `long:"programs" default:"bin" description:"directory of ferryd, ferryctl and ferrystand"`
	Cases    []string `long:"case" description:"run only this case; may be given more than once"`
	Seed     uint64   `long:"seed" default:"1" description:"seed of the case's choices"`
}

func init() {
	subcommands = append(subcommands, func(p *flags.Parser) error {
		_, err := p.AddCommand("proof", "bring failures about and check the promises", proofHelp, &proofCommand{})
		return err
	})
}

func (c *proofCommand) wanted(name string) bool {
	for _, n := range c.Cases {
		if n == name {
			return true
		}
	}
	return len(c.Cases) == 0
}

// Execute runs the cases.
func (c *proofCommand) Execute([]string) error {
	failed := 0
	for _, cs := range ferryproof.Cases {
		if !c.wanted(cs.Name) {
			continue
		}
		fmt.Printf("== %s: %s\n    %s\n", cs.Name, cs.Promise, cs.Faults)
		r := cs.Run(context.Background(), os.Stdout, c.Programs, c.Seed)
		if r.Err != nil {
			failed++
			fmt.Printf("    FAILED after %s: %v\n", r.Took.Round(time.Millisecond), r.Err)
			continue
		}
		fmt.Printf("    passed in %s\n", r.Took.Round(time.Millisecond))
	}
	if failed > 0 {
		return fmt.Errorf("%d cases failed", failed)
	}
	return nil
}
