package main

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"cactusferry.dev/ferry/ferryadmin"
	"cactusferry.dev/ferry/ferryevent"
)

const timelineHelp = `Shows the events of all entries, merged in causal order. The trace format can be opened in a trace viewer such as chrome://tracing or ui.perfetto.dev.

Example:
  ferryctl timeline --format trace > timeline.json`

type timelineCommand struct {
	app     *app
	Format  string `long:"format" choice:"text" choice:"json" choice:"trace" default:"text" description:"output format"`
	Subject string `long:"subject" value-name:"TEXT" description:"show only the events of this subject, such as a service, a stream or a request"`
}

func init() {
	subcommands = append(subcommands, func(a *app, p *flags.Parser) error {
		_, err := p.AddCommand("timeline", "show the events of all entries", timelineHelp, &timelineCommand{app: a})
		return err
	})
}

// Execute runs the subcommand.
func (c *timelineCommand) Execute([]string) error {
	replies, err := callAll(c.app, func(cl *ferryadmin.Client) (ferryevent.Events, error) { return cl.Events(c.app.ctx) })
	if err != nil {
		return err
	}
	var lists []ferryevent.Events
	for _, r := range replies {
		lists = append(lists, r.value)
	}
	if err := c.write(ferryevent.Merge(lists...)); err != nil {
		return err
	}
	return reportUnanswered(c.app, replies)
}

func (c *timelineCommand) write(events ferryevent.Events) error {
	shown := ferryevent.Events{}
	for _, e := range events {
		if c.Subject == "" || e.Subject == c.Subject {
			shown = append(shown, e)
		}
	}
	switch c.Format {
	case "json":
		return writeJSON(c.app.out, shown)
	case "trace":
		return shown.WriteTrace(c.app.out)
	}
	for _, e := range shown {
		fmt.Fprintln(c.app.out, e)
	}
	return nil
}

func writeJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
