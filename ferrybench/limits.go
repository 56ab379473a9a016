package main

import (
	"os"

	"github.com/jessevdk/go-flags"

	"cactusferry.dev/ferrybench/ferrycapacity"
)

const limitsHelp = `Measures what customers' limits cost an entry: a fifth of the customers call,
each 8 times a second at any entry of its shard of 16. The cores run in this
process on a clock of their own:

    ferrybench limits
`

type limitsCommand struct{}

func init() {
	subcommands = append(subcommands, func(p *flags.Parser) error {
		_, err := p.AddCommand("limits", "measure customers' limits", limitsHelp, &limitsCommand{})
		return err
	})
}

// Execute measures and prints.
func (*limitsCommand) Execute([]string) error {
	var ps []ferrycapacity.LimitPoint
	for _, size := range [][2]int{{9, 10}, {9, 100}, {9, 1000}, {350, 1000}, {350, 4500}} {
		ps = append(ps, ferrycapacity.MeasureLimits(size[0], size[1]))
	}
	ferrycapacity.PrintLimits(os.Stdout, ps)
	return nil
}
