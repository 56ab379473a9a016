package main

import (
	"os"

	"github.com/jessevdk/go-flags"

	"cactusferry.dev/ferrybench/ferrycapacity"
)

const limitsHelp = `Measures the cost per entry of enforcing customers' limits: a fifth of the
customers make 8 calls/s each, over the 16 entries of their shard. The entries
are simulated in this process on a virtual clock:

    ferrybench limits
`

type limitsCommand struct{}

func init() {
	subcommands = append(subcommands, func(p *flags.Parser) error {
		_, err := p.AddCommand("limits", "measure the cost of customers' limits", limitsHelp, &limitsCommand{})
		return err
	})
}

// Execute runs the measurements and prints the table.
func (*limitsCommand) Execute([]string) error {
	var ps []ferrycapacity.LimitPoint
	for _, size := range [][2]int{{9, 10}, {9, 100}, {9, 1000}, {350, 1000}, {350, 4500}} {
		ps = append(ps, ferrycapacity.MeasureLimits(size[0], size[1]))
	}
	ferrycapacity.PrintLimits(os.Stdout, ps)
	return nil
}
