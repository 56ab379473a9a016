package main

import (
	"context"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"cactusferry.dev/ferrybench/ferrycapacity"
)

const capacityHelp = `Measures the control overhead of the entries and prints the measured points, the
linear fits and the extrapolation to the size planned in docs/CAPACITY.md.

The entries are simulated in this process on a virtual clock, so a run uses one
processor core and no network:

    ferrybench capacity
    ferrybench capacity --nodes 9 --nodes 50

To measure real nodes over loopback, in this process:

    ferrybench capacity --real 9 --real 30 --seconds 30
`

type capacityCommand struct {
	Nodes    []int   `long:"nodes" description:"size of a simulated fleet; may be given again (default 9, 30, 50, 100, 200, 350)"`
	Real     []int   `long:"real" description:"size of a fleet of real nodes over loopback to measure instead; may be given again"`
	Seconds  int     `long:"seconds" default:"30" description:"duration of the measurement of real nodes in seconds"`
	Readings bool    `long:"readings" description:"measure only the cost of reading the engines' loads; takes about a second"`
	Runners  float64 `long:"runners-per-node" default:"4.57" description:"number of runners per node whose load summaries are exchanged"`
}

func init() {
	subcommands = append(subcommands, func(p *flags.Parser) error {
		_, err := p.AddCommand("capacity", "measure the control overhead of entries", capacityHelp, &capacityCommand{})
		return err
	})
}

// Execute runs the measurements and prints the tables.
func (c *capacityCommand) Execute([]string) error {
	if len(c.Real) > 0 {
		return c.measureReal()
	}
	sizes := c.Nodes
	if len(sizes) == 0 {
		sizes = []int{9, 30, 50, 100, 200, 350}
	}
	cost, err := ferrycapacity.MeasureRead(context.Background())
	if err != nil {
		return err
	}
	var readings ferrycapacity.Readings
	for _, n := range sizes {
		readings = append(readings, ferrycapacity.MeasureReading(n, int(float64(n)*c.Runners), cost))
	}
	if c.Readings {
		readings.Print(os.Stdout, cost)
		return nil
	}
	var points ferrycapacity.Points
	for _, n := range sizes {
		fmt.Fprintf(os.Stderr, "measuring %d nodes\n", n)
		points = append(points, ferrycapacity.Measure(n, int(float64(n)*c.Runners)))
	}
	points.Print(os.Stdout, readings)
	readings.Print(os.Stdout, cost)
	return nil
}

func (c *capacityCommand) measureReal() error {
	for _, n := range c.Real {
		r, err := ferrycapacity.MeasureReal(n, c.Seconds)
		if err != nil {
			return err
		}
		r.Print(os.Stdout)
	}
	return nil
}
