package main

import (
	"encoding/json"

	"github.com/jessevdk/go-flags"

	"cactusferry.dev/ferry/ferryadmin"
	"cactusferry.dev/ferry/ferryid"
)

const claimsHelp = `Shows the claims of calls that run at most once, as JSON.

Example:
  ferryctl claims parlour-api --key feed-7-2026-12-04`

type claimsCommand struct {
	app  *app
	Key  string `long:"key" value-name:"KEY" description:"show only this idempotency key"`
	Args struct {
		Service string `positional-arg-name:"SERVICE"`
	} `positional-args:"yes" required:"yes"`
}

func init() {
	subcommands = append(subcommands, func(a *app, p *flags.Parser) error {
		_, err := p.AddCommand("claims", "show claims of calls that run at most once", claimsHelp, &claimsCommand{app: a})
		return err
	})
}

// Execute runs the subcommand.
func (c *claimsCommand) Execute([]string) error {
	claims, err := firstAnswer(c.app, func(cl *ferryadmin.Client) (json.RawMessage, error) {
		return cl.Claims(c.app.ctx, ferryid.ServiceName(c.Args.Service), c.Key)
	})
	if err != nil {
		return err
	}
	return writeJSON(c.app.out, claims)
}
