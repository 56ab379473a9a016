package main

import (
	"context"
	"os"

	"github.com/jessevdk/go-flags"

	"cactusferry.dev/ferrystand/ferrydemo"
)

const demoHelp = `Starts stand-ins for the outside systems and three ferryd, each a process of
its own, sends them real requests, changes their configuration, shows the time
line and stops everything. It ends with status 0 only if everything was as it
must be, within a minute.

Example:

    ferrystand demo --programs bin`

type demoCommand struct {
	Programs string `long:"programs" default:"bin" description:"directory of ferryd, ferryctl and ferrystand"`
}

func init() {
	subcommands = append(subcommands, func(p *flags.Parser) error {
		_, err := p.AddCommand("demo", "run the whole system and check it", demoHelp, &demoCommand{})
		return err
	})
}

// Execute runs the demo.
func (c *demoCommand) Execute([]string) error {
	d := &ferrydemo.Demo{Out: os.Stdout}
	return d.Run(context.Background(), c.Programs)
}
