package main

import (
	"errors"
	"fmt"

	"github.com/jessevdk/go-flags"

	"cactusferry.dev/ferry/ferryadmin"
	"cactusferry.dev/ferry/ferrydocument"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryservice"
)

const applyHelp = `Makes FILE the next version of its service document, if nobody else has changed it since it was fetched.

If another change came first, nothing is applied; the winner and a three-way diff are shown. If the answer of the platform is lost, the entry repeats the same conditional write until the outcome is known; if it can't find out in time, the command that settles it is shown, and running that can never apply the change twice.

Example:
  ferryctl get parlour-api > parlour-api.toml
  ferryctl apply parlour-api.toml --operator ivana

A new service:
  ferryctl apply parlour-api.toml --base 0 --operator ivana`

type applyCommand struct {
	app        *app
	Base       *uint64  `long:"base" value-name:"GENERATION" description:"generation that was edited, 0 for a new service (default: the one in FILE's first line)"`
	Operator   string   `long:"operator" value-name:"NAME" env:"FERRYCTL_OPERATOR" required:"true" description:"who applies"`
	ApplyID    string   `long:"apply-id" value-name:"ID" description:"id of an earlier apply of the same file that is to be settled"`
	Supersedes []string `long:"supersedes" value-name:"HASH" description:"version of another branch that this one replaces on purpose"`
	Args       struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

func init() {
	subcommands = append(subcommands, func(a *app, p *flags.Parser) error {
		_, err := p.AddCommand("apply", "accept a changed service document", applyHelp, &applyCommand{app: a})
		return err
	})
}

// Execute runs the subcommand.
func (c *applyCommand) Execute([]string) error {
	req, err := c.request()
	if err != nil {
		return err
	}
	taken := false
	// Trying another entry is safe, as the apply id stays the same.
	a, err := first(c.app, func(cl *ferryadmin.Client) (ferryservice.Accepted, error) {
		a, err := cl.Apply(c.app.ctx, req)
		var silent *ferryadmin.UnreachableError
		taken = taken || errors.As(err, &silent) && silent.Sent
		return a, err
	})
	var lost *ferrydocument.LostRaceError
	if errors.As(err, &lost) {
		fmt.Fprint(c.app.out, lost.Diff)
		return err
	}
	if err != nil && taken {
		return c.unresolved(req, err)
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(c.app.out, "accepted %s generation %d hash %.12s\nfetch it again before the next change: ferryctl get %s > %s\n", a.Service, a.Generation, a.Hash(), a.Service, c.Args.File)
	return nil
}

// unresolved is the error after an entry may have taken the request and did not answer.
func (c *applyCommand) unresolved(req ferrydocument.ApplyRequest, err error) error {
	if errors.As(err, new(*ferrydocument.UnresolvedError)) {
		return err
	}
	return &ferrydocument.UnresolvedError{ApplyID: req.ApplyID, Command: req.Command(c.Args.File), Err: err}
}

func (c *applyCommand) request() (ferrydocument.ApplyRequest, error) {
	f, err := c.app.readDocument(c.Args.File)
	if err != nil {
		return ferrydocument.ApplyRequest{}, err
	}
	base := f.base
	switch {
	case c.Base != nil:
		base = ferryid.Generation(*c.Base)
	case !f.hasBase:
		return ferrydocument.ApplyRequest{}, fmt.Errorf("%s does not say which version was edited; fetch it with ferryctl get, or give --base (0 for a new service)", c.Args.File)
	}
	id := c.ApplyID
	if id == "" {
		id = ferrydocument.NewApplyID()
	}
	return ferrydocument.ApplyRequest{
		Service: f.document.Service, Source: f.source, BaseGeneration: base,
		Operator: c.Operator, ApplyID: id, Supersedes: c.Supersedes,
	}, nil
}
