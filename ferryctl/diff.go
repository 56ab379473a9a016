package main

import (
	"fmt"

	"github.com/jessevdk/go-flags"

	"cactusferry.dev/ferry/ferrydocument"
)

const diffHelp = `Shows the differences between the document in force and FILE; exits with 1 if there are any.

Example:
  ferryctl diff parlour-api.toml`

type diffCommand struct {
	app  *app
	Args struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

func init() {
	subcommands = append(subcommands, func(a *app, p *flags.Parser) error {
		_, err := p.AddCommand("diff", "compare a file with the document in force", diffHelp, &diffCommand{app: a})
		return err
	})
}

// Execute runs the subcommand.
func (c *diffCommand) Execute([]string) error {
	f, err := c.app.readDocument(c.Args.File)
	if err != nil {
		return err
	}
	a, err := c.app.document(f.document.Service)
	if err != nil {
		return err
	}
	if a.Source == f.source {
		return nil
	}
	fmt.Fprint(c.app.out, ferrydocument.Diff(fmt.Sprintf("in force: generation %d", a.Generation), a.Source, c.Args.File, f.source))
	return &exitError{exitDiffers, fmt.Errorf("%s differs from generation %d", c.Args.File, a.Generation)}
}
