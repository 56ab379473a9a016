package main

import (
	"fmt"

	"github.com/jessevdk/go-flags"

	"cactusferry.dev/ferry/ferryadmin"
	"cactusferry.dev/ferry/ferryid"
)

const drainHelp = `Marks an upstream as leaving: within a few seconds the entries send it no new work; its running work is finished.

Example:
  ferryctl drain herd-llm runner-17 --operator ivana`

type drainCommand struct {
	app      *app
	leaving  bool
	Operator string `long:"operator" value-name:"NAME" env:"FERRYCTL_OPERATOR" required:"true" description:"name of the operator"`
	Args     struct {
		Service  string `positional-arg-name:"SERVICE"`
		Upstream string `positional-arg-name:"UPSTREAM"`
	} `positional-args:"yes" required:"yes"`
}

func init() {
	subcommands = append(subcommands, func(a *app, p *flags.Parser) error {
		_, err := p.AddCommand("drain", "send no new work to an upstream", drainHelp, &drainCommand{app: a, leaving: true})
		return err
	})
}

// Execute runs the subcommand.
func (c *drainCommand) Execute([]string) error {
	req := ferryadmin.DrainRequest{
		Upstream: ferryid.UpstreamName(c.Args.Upstream),
		Service:  ferryid.ServiceName(c.Args.Service),
		Operator: c.Operator,
		Leaving:  c.leaving,
	}
	_, err := firstAnswer(c.app, func(cl *ferryadmin.Client) (struct{}, error) { return struct{}{}, cl.Drain(c.app.ctx, req) })
	if err != nil {
		return err
	}
	state := "gets new work again"
	if c.leaving {
		state = "is leaving"
	}
	fmt.Fprintf(c.app.out, "%s of %s %s\n", req.Upstream, req.Service, state)
	return nil
}
