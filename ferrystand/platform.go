package main

import (
	"context"

	"github.com/jessevdk/go-flags"
	"github.com/jonboulle/clockwork"

	"cactusferry.dev/ferrystand/ferrystandplatform"
)

const platformHelp = `Serves the object API and the instance list from memory; a restart loses all data.

Example:
  ferrystand platform --listen 127.0.0.1:9000
  curl -X PUT -d '{"Outage":true}' http://127.0.0.1:9000/admin/faults`

type platformCommand struct {
	listenOption
}

func init() {
	subcommands = append(subcommands, func(p *flags.Parser) error {
		_, err := p.AddCommand("platform", "stand-in for the platform", platformHelp, &platformCommand{})
		return err
	})
}

// Execute runs the subcommand.
func (c *platformCommand) Execute([]string) error {
	s := ferrystandplatform.New(clockwork.NewRealClock())
	return serve(c.Listen, s, func(context.Context, string) error { return nil })
}
