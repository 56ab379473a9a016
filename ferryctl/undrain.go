package main

import "github.com/jessevdk/go-flags"

const undrainHelp = `Reverts a drain, so that the upstream gets new work again.

Example:
  ferryctl undrain herd-llm runner-17 --operator ivana`

func init() {
	subcommands = append(subcommands, func(a *app, p *flags.Parser) error {
		_, err := p.AddCommand("undrain", "send new work to an upstream again", undrainHelp, &drainCommand{app: a})
		return err
	})
}
