package main

import (
	"fmt"

	"github.com/jessevdk/go-flags"
)

const lintHelp = `Checks FILE without calling an entry and prints all faults with their lines and fields.

Example:
  ferryctl lint parlour-api.toml`

type lintCommand struct {
	app  *app
	Args struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

func init() {
	subcommands = append(subcommands, func(a *app, p *flags.Parser) error {
		_, err := p.AddCommand("lint", "check a service document", lintHelp, &lintCommand{app: a})
		return err
	})
}

// Execute runs the subcommand.
func (c *lintCommand) Execute([]string) error {
	f, err := c.app.readDocument(c.Args.File)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.app.out, "%s: service %s: no faults\n", c.Args.File, f.document.Service)
	return nil
}
