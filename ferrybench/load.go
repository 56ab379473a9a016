package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jessevdk/go-flags"
	"github.com/jonboulle/clockwork"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferrybench/ferryexperiment"
	"cactusferry.dev/ferrybench/ferryload"
	"cactusferry.dev/ferrybench/ferryreport"
	"cactusferry.dev/ferrybench/ferryworkload"
)

func init() { subcommands = append(subcommands, addLoad) }

// loadCommand plays a workload against live entries.
type loadCommand struct {
	Entries  []string      `long:"entry" required:"true" description:"address of an entry to ask first; may be given again"`
	Service  string        `long:"service" default:"herd-llm" description:"model service"`
	Plain    string        `long:"plain" default:"parlour-api" description:"plain service, for kinds of calls with a path"`
	Workload string        `long:"workload" default:"stoyanovi" description:"a file, or the name of a workload that comes with ferrybench"`
	Keys     []string      `long:"key" description:"CUSTOMER=KEY; may be given again; one without customer is used for all"`
	Capacity float64       `long:"capacity" default:"1000" description:"what the engines do together, in tokens/s; the workload's load is relative to it"`
	Duration time.Duration `long:"duration" description:"stop sending after this long; 0 is the workload's own"`
	MaxOpen  int           `long:"max-open" default:"5000" description:"calls open at once; arrivals beyond are counted as unsent"`
	Out      string        `long:"out" default:"out" description:"directory for the JSON report and plots; empty for none"`
}

func addLoad(p *flags.Parser) error {
	_, err := p.AddCommand("load", "play a workload against live entries",
		`Sends the calls of a workload at their times, never waiting for answers, and counts waiting from the intended arrival. Asks
GET /v1/entries for the entry to use and keeps the answer for its lifetime. Refused calls come back after Retry-After as the
workload's callers do.

Example:
  ferrybench load --entry 127.0.0.1:8080 --key demo-key --workload stoyanovi --capacity 400 --duration 30s`, &loadCommand{})
	return err
}

// Execute is called by go-flags.
func (c *loadCommand) Execute([]string) error {
	w, err := readWorkload(c.Workload)
	if err != nil {
		return err
	}
	arrivals := scaled(w, c.Capacity, c.Duration)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	s := ferryload.Run(ctx, c.config(w), w, arrivals)
	s.Result.Bound = c.Capacity
	if err := ferryreport.WriteText(os.Stdout, s.Result); err != nil {
		return merry.Prepend(err, "print report")
	}
	fmt.Printf("%d arrivals unsent because %d calls were open; %d failures that may have run\n", s.Unsent, c.MaxOpen, s.Unknown)
	return c.save(w.Name, s)
}

// scaled draws the arrivals for a fleet of another capacity than the workload's own.
func scaled(w *ferryworkload.Workload, capacity float64, d time.Duration) []ferryworkload.Arrival {
	factor := capacity / w.Bound()
	for i := range w.Phases {
		w.Phases[i].Load *= factor
	}
	if d > 0 {
		w.Duration = ferryworkload.Duration(min(d, time.Duration(w.Duration)))
		w.Warmup = min(w.Warmup, w.Duration/5)
	}
	return w.Arrivals()
}

func (c *loadCommand) config(w *ferryworkload.Workload) ferryload.Config {
	keys := map[ferryid.CustomerName]string{}
	for _, k := range c.Keys {
		name, key, ok := strings.Cut(k, "=")
		if ok {
			keys[ferryid.CustomerName(name)] = key
			continue
		}
		for _, cu := range w.Customers {
			keys[cu.Name] = k
		}
	}
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.MaxIdleConnsPerHost = c.MaxOpen
	t.MaxIdleConns = 0
	return ferryload.Config{
		Entries: c.Entries, Model: ferryid.ServiceName(c.Service), Plain: ferryid.ServiceName(c.Plain),
		Keys: keys, MaxOpen: c.MaxOpen, Clock: clockwork.NewRealClock(), Client: &http.Client{Transport: t},
	}
}

func (c *loadCommand) save(name string, s *ferryload.Summary) error {
	if c.Out == "" {
		return nil
	}
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return merry.Prepend(err, "make directory for the report")
	}
	if err := ferryreport.WriteJSON(filepath.Join(c.Out, name+"-live.json"), s); err != nil {
		return merry.Prepend(err, "write report")
	}
	return merry.Prepend(ferryreport.Plot(c.Out, name+"-live", []*ferryexperiment.Result{s.Result}), "draw plots")
}
