package main

import (
	"context"
	"os"

	"github.com/jessevdk/go-flags"

	"cactusferry.dev/ferrystand/ferrydemo"
)

const demoHelp = `Starts stand-ins for the external systems and three ferryd, each in a separate
process, sends requests to them, changes their configuration, prints the time
line and stops all processes. The exit status is 0 only if every step had the
expected result within a minute.

Example:

    ferrystand demo --programs bin`

type demoCommand struct {
	Programs string `long:"programs" default:"bin" description:"directory of ferryd, ferryctl and ferrystand"`
}

func init() {
	subcommands = append(subcommands, func(p *flags.Parser) error {
		_, err := p.AddCommand("demo", "run the whole system and check its answers", demoHelp, &demoCommand{})
		return err
	})
}

// Execute runs the demo.
func (c *demoCommand) Execute([]string) error {
	d := &ferrydemo.Demo{Out: os.Stdout}
	return d.Run(context.Background(), c.Programs)
}
