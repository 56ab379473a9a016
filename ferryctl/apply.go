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

const applyHelp = `Applies FILE as the next version of its service document, unless another change was accepted since it was fetched.

If another change was accepted first, nothing is applied, and that change and a three-way diff are shown. If the answer of the platform is lost, the entry repeats the same conditional write until the outcome is known. If that takes too long, the command that resolves the outcome is shown; running it never applies the change twice.

Example:
  ferryctl get parlour-api > parlour-api.toml
  ferryctl apply parlour-api.toml --operator ivana

A new service:
  ferryctl apply parlour-api.toml --base 0 --operator ivana`

type applyCommand struct {
	app        *app
	Base       *uint64  `long:"base" value-name:"GENERATION" description:"generation that was edited, 0 for a new service (default: the one in FILE's first line)"`
	Operator   string   `long:"operator" value-name:"NAME" env:"FERRYCTL_OPERATOR" required:"true" description:"name of the operator"`
	ApplyID    string   `long:"apply-id" value-name:"ID" description:"id of an earlier apply of the same file whose outcome is to be resolved"`
	Supersedes []string `long:"supersedes" value-name:"HASH" description:"hash of a version on another branch that this one replaces; may be repeated"`
	Args       struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

func init() {
	subcommands = append(subcommands, func(a *app, p *flags.Parser) error {
		_, err := p.AddCommand("apply", "apply a changed service document", applyHelp, &applyCommand{app: a})
		return err
	})
}

// Execute runs the subcommand.
func (c *applyCommand) Execute([]string) error {
	req, err := c.request()
	if err != nil {
		return err
	}
	sent := false
	// Retrying with another entry is safe, as the apply id stays the same.
	a, err := firstAnswer(c.app, func(cl *ferryadmin.Client) (ferryservice.Accepted, error) {
		a, err := cl.Apply(c.app.ctx, req)
		var unreachable *ferryadmin.UnreachableError
		sent = sent || errors.As(err, &unreachable) && unreachable.Sent
		return a, err
	})
	var lost *ferrydocument.LostRaceError
	if errors.As(err, &lost) {
		fmt.Fprint(c.app.out, lost.Diff)
		return err
	}
	if err != nil && sent {
		return c.unresolved(req, err)
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(c.app.out, "accepted %s generation %d hash %.12s\nfetch it again before the next change: ferryctl get %s > %s\n", a.Service, a.Generation, a.Hash(), a.Service, c.Args.File)
	return nil
}

// unresolved returns the error for a request that was sent to an entry and got no answer.
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
		return ferrydocument.ApplyRequest{}, fmt.Errorf("%s has no header line with the edited version; fetch it with ferryctl get, or give --base (0 for a new service)", c.Args.File)
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
