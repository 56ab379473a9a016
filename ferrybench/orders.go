package main

import (
	"os"

	"github.com/jessevdk/go-flags"

	"cactusferry.dev/ferrybench/ferrycapacity"
)

const ordersHelp = `Measures the orders to one service's engines: the time in which a new holder
brings all to another version, and the readings at rest, reading by groups and
as it was before. The core runs in this process on a clock of its own:

    ferrybench orders --engines 4 --engines 1600
`

type ordersCommand struct {
	Engines []int `long:"engines" description:"a number of engines to measure (default 4, 40, 160, 1600)"`
}

func init() {
	subcommands = append(subcommands, func(p *flags.Parser) error {
		_, err := p.AddCommand("orders", "measure orders to engines", ordersHelp, &ordersCommand{})
		return err
	})
}

// Execute measures and prints.
func (c *ordersCommand) Execute([]string) error {
	sizes := c.Engines
	if len(sizes) == 0 {
		sizes = []int{4, 40, 160, 1600}
	}
	var ps []ferrycapacity.OrderPoint
	for _, n := range sizes {
		ps = append(ps, ferrycapacity.MeasureOrders(n, true), ferrycapacity.MeasureOrders(n, false))
	}
	ferrycapacity.PrintOrders(os.Stdout, ps)
	return nil
}
