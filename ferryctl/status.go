package main

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"

	"cactusferry.dev/ferry/ferryadmin"
)

const statusHelp = `Shows the state of every entry and the versions of the documents in force there.

Example:
  ferryctl status`

type statusCommand struct {
	app *app
}

func init() {
	subcommands = append(subcommands, func(a *app, p *flags.Parser) error {
		_, err := p.AddCommand("status", "show the entries and the documents in force", statusHelp, &statusCommand{app: a})
		return err
	})
}

// Execute runs the subcommand.
func (c *statusCommand) Execute([]string) error {
	replies, err := callAll(c.app, func(cl *ferryadmin.Client) (ferryadmin.Status, error) { return cl.Status(c.app.ctx) })
	if err != nil {
		return err
	}
	if err := writeEntries(c.app.out, replies); err != nil {
		return err
	}
	fmt.Fprintln(c.app.out)
	if err := writeDocuments(c.app.out, replies); err != nil {
		return err
	}
	return reportUnanswered(c.app, replies)
}

func writeEntries(out io.Writer, replies []reply[ferryadmin.Status]) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ENTRY\tDOMAIN\tSTATE\tPEERS\tSTREAMS\tCALLS\tPLATFORM\tPLATFORM CALLS")
	for _, r := range replies {
		s := r.value
		if r.err != nil {
			fmt.Fprintf(w, "%s\t-\tNo answer\t-\t-\t-\t-\t-\n", r.name)
			continue
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%s\t%d\n", r.name, s.FailureDomain, s.State, len(s.Peers), s.OpenStreams, s.OpenCalls, upDown(s.PlatformUp), total(s.PlatformCalls))
	}
	return w.Flush()
}

func upDown(up bool) string {
	if up {
		return "up"
	}
	return "down"
}

func total(calls map[string]int64) int64 {
	var n int64
	for _, c := range calls {
		n += c
	}
	return n
}

// writeDocuments prints each version of each document with the entries where it is in force.
func writeDocuments(out io.Writer, replies []reply[ferryadmin.Status]) error {
	where := map[ferryadmin.DocumentStatus][]string{}
	for _, r := range replies {
		for _, d := range r.value.Documents {
			where[d] = append(where[d], r.name)
		}
	}
	versions := make([]ferryadmin.DocumentStatus, 0, len(where))
	for d := range where {
		versions = append(versions, d)
	}
	slices.SortFunc(versions, func(a, b ferryadmin.DocumentStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(b.Generation, a.Generation), cmp.Compare(a.Hash, b.Hash))
	})
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SERVICE\tGENERATION\tHASH\tIN FORCE AT")
	for _, d := range versions {
		fmt.Fprintf(w, "%s\t%d\t%.12s\t%s\n", d.Service, d.Generation, d.Hash, strings.Join(where[d], " "))
	}
	return w.Flush()
}
