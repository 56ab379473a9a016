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

// loadCommand sends the calls of a workload to running entries.
type loadCommand struct {
	Entries  []string      `long:"entry" required:"true" description:"address of a seed entry for steering; may be given again"`
	Service  string        `long:"service" default:"herd-llm" description:"model service"`
	Plain    string        `long:"plain" default:"parlour-api" description:"plain service, for kinds of calls with a path"`
	Workload string        `long:"workload" default:"stoyanovi" description:"a file or the name of an embedded workload"`
	Keys     []string      `long:"key" description:"API key as CUSTOMER=KEY, or KEY for all customers; may be given again"`
	Capacity float64       `long:"capacity" default:"1000" description:"total rate of the engines in tokens/s; the workload's load is relative to it"`
	Duration time.Duration `long:"duration" description:"duration of the load; 0 uses the workload's"`
	MaxOpen  int           `long:"max-open" default:"5000" description:"maximum number of open calls; further arrivals are counted as unsent"`
	Out      string        `long:"out" default:"out" description:"directory for the JSON report and plots; empty for none"`
}

func addLoad(p *flags.Parser) error {
	_, err := p.AddCommand("load", "send the calls of a workload to running entries",
		`Sends the calls of a workload in an open loop and measures latencies from the intended arrival. Requests GET /v1/entries
for the entry to use and caches the answer for its lifetime. Refused calls are retried after Retry-After as configured
in the workload.

Example:
  ferrybench load --entry 127.0.0.1:8080 --key demo-key --workload stoyanovi --capacity 400 --duration 30s`, &loadCommand{})
	return err
}

// Execute runs the load and prints the report.
func (c *loadCommand) Execute([]string) error {
	w, err := readWorkload(c.Workload)
	if err != nil {
		return err
	}
	arrivals := scaledArrivals(w, c.Capacity, c.Duration)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	s := ferryload.Run(ctx, c.config(w), w, arrivals)
	s.Result.Bound = c.Capacity
	if err := ferryreport.WriteText(os.Stdout, s.Result); err != nil {
		return merry.Prepend(err, "print text report")
	}
	fmt.Printf("%d arrivals unsent because %d calls were open; %d failures that may have run\n", s.Unsent, c.MaxOpen, s.Unknown)
	return c.save(w.Name, s)
}

// scaledArrivals returns the arrivals with the load scaled from the workload's bound to a capacity in
// tokens/s. It modifies w.
func scaledArrivals(w *ferryworkload.Workload, capacity float64, d time.Duration) []ferryworkload.Arrival {
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
		return merry.Prepend(err, "create directory for the report")
	}
	if err := ferryreport.WriteJSON(filepath.Join(c.Out, name+"-live.json"), s); err != nil {
		return merry.Prepend(err, "write JSON report")
	}
	return merry.Prepend(ferryreport.Plot(c.Out, name+"-live", []*ferryexperiment.Result{s.Result}), "draw plots")
}
