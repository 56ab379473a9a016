package main

import (
	"context"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"cactusferry.dev/ferrybench/ferrycapacity"
)

const capacityHelp = `Measures what the entries spend on acting together and prints the measured
points, the slopes and the figures at the size that docs/CAPACITY.md plans for.

Cores run in this process on a clock of their own, so a run needs one core and
no network:

    ferrybench capacity
    ferrybench capacity --nodes 9 --nodes 50

Real nodes over loopback, in this process:

    ferrybench capacity --real 9 --real 30 --seconds 30
`

type capacityCommand struct {
	Nodes    []int   `long:"nodes" description:"a fleet size of cores to measure (default 9, 30, 50, 100, 200, 350)"`
	Real     []int   `long:"real" description:"a fleet size of real nodes over loopback to measure instead"`
	Seconds  int     `long:"seconds" default:"30" description:"how long real nodes are measured"`
	Readings bool    `long:"readings" description:"only what reading the engines' loads costs; takes a second"`
	Runners  float64 `long:"runners-per-node" default:"4.57" description:"runners whose load summaries are spread, for each node"`
}

func init() {
	subcommands = append(subcommands, func(p *flags.Parser) error {
		_, err := p.AddCommand("capacity", "measure the entries' own spending", capacityHelp, &capacityCommand{})
		return err
	})
}

// Execute measures and prints.
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
