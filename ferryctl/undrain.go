package main

import "github.com/jessevdk/go-flags"

const undrainHelp = `Takes back a drain, so that the upstream gets new work again.

Example:
  ferryctl undrain herd-llm runner-17 --operator ivana`

func init() {
	subcommands = append(subcommands, func(a *app, p *flags.Parser) error {
		_, err := p.AddCommand("undrain", "give an upstream new work again", undrainHelp, &drainCommand{app: a})
		return err
	})
}
