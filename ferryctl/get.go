package main

import (
	"fmt"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"

	"cactusferry.dev/ferry/ferryadmin"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryservice"
)

const getHelp = `Prints the document in force of a service, with a header line that records its version for apply. Without SERVICE, lists the documents.

Example:
  ferryctl get parlour-api > parlour-api.toml`

type getCommand struct {
	app  *app
	Args struct {
		Service string `positional-arg-name:"SERVICE"`
	} `positional-args:"yes"`
}

func init() {
	subcommands = append(subcommands, func(a *app, p *flags.Parser) error {
		_, err := p.AddCommand("get", "print the document in force", getHelp, &getCommand{app: a})
		return err
	})
}

// Execute runs the subcommand.
func (c *getCommand) Execute([]string) error {
	if c.Args.Service == "" {
		return c.list()
	}
	a, err := c.app.document(ferryid.ServiceName(c.Args.Service))
	if err != nil {
		return err
	}
	_, err = fmt.Fprint(c.app.out, header(a), a.Source)
	return err
}

func (c *getCommand) list() error {
	docs, err := firstAnswer(c.app, func(cl *ferryadmin.Client) ([]ferryservice.Accepted, error) { return cl.Documents(c.app.ctx) })
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(c.app.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SERVICE\tGENERATION\tHASH\tOPERATOR\tACCEPTED")
	for _, a := range docs {
		fmt.Fprintf(w, "%s\t%d\t%.12s\t%s\t%s\n", a.Service, a.Generation, a.Hash(), a.Operator, a.At.UTC().Format("2006-01-02 15:04:05"))
	}
	return w.Flush()
}

// document returns the document in force of a service.
func (a *app) document(service ferryid.ServiceName) (ferryservice.Accepted, error) {
	return firstAnswer(a, func(cl *ferryadmin.Client) (ferryservice.Accepted, error) { return cl.Document(a.ctx, service) })
}
