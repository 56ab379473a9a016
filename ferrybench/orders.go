package main

import (
	"os"

	"github.com/jessevdk/go-flags"

	"cactusferry.dev/ferrybench/ferrycapacity"
)

const ordersHelp = `Measures the orders to the engines of one service: the time in which a new lease
holder moves all engines to another version, and the reads without open orders.
It compares reading in groups with the former design, in which the holder reads
all engines. Holder and engines are simulated in this process on a virtual clock:

    ferrybench orders --engines 4 --engines 1600
`

type ordersCommand struct {
	Engines []int `long:"engines" description:"number of engines; may be given again (default 4, 40, 160, 1600)"`
}

func init() {
	subcommands = append(subcommands, func(p *flags.Parser) error {
		_, err := p.AddCommand("orders", "measure orders to engines", ordersHelp, &ordersCommand{})
		return err
	})
}

// Execute runs the measurements and prints the table.
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
