package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jessevdk/go-flags"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferrybench/ferryload"
	"cactusferry.dev/ferrybench/ferryreport"
	"cactusferry.dev/ferrystand/ferrydemo"
)

const liveHelp = `Starts a platform, engines and entries, each a process of its own, and plays the
same arrivals of a workload twice: with the baseline (one queue in order of
arrival, any engines) and with the present policy.

Example:

    ferrybench live --workload holding --engines 12 --entries 3 --duration 20s`

const (
	livePolicies = "[Policy]\nQueue = %q\nRoute = %q\n\n"
	liveSlots    = 8
	liveMaxOpen  = 4000
	liveSettle   = 2 * time.Second
)

type liveCommand struct {
	Programs string        `long:"programs" default:"bin" description:"directory of ferryd, ferryctl and ferrystand"`
	Workload string        `long:"workload" default:"holding" description:"a file, or the name of a workload that comes with ferrybench"`
	Engines  int           `long:"engines" default:"12" description:"engines, each holding half of the layers"`
	Entries  int           `long:"entries" default:"3" description:"entries"`
	Rate     int           `long:"rate" default:"200" description:"tokens a second of each engine"`
	Load     float64       `long:"load" default:"0.8" description:"the load that stands for the whole capacity in the workload, as a share of the fleet's"`
	Duration time.Duration `long:"duration" default:"20s" description:"how long calls are sent"`
	Out      string        `long:"out" default:"out" description:"directory for the JSON reports"`
}

func init() {
	subcommands = append(subcommands, func(p *flags.Parser) error {
		_, err := p.AddCommand("live", "compare the policies over real processes", liveHelp, &liveCommand{})
		return err
	})
}

// capacity is the bound worked out from the engines' rates: half of them hold each half of the layers.
func (c *liveCommand) capacity() float64 {
	return float64(c.Engines/2) * float64(c.Rate)
}

// Execute runs both policies and prints both reports.
func (c *liveCommand) Execute([]string) error {
	for _, p := range []struct{ name, queue, route string }{
		{"baseline", "Fifo", "Random"},
		{"present", "Fair", "LeastWork"},
	} {
		fmt.Printf("== %s: queue %s, route %s; bound %.0f tokens/s\n", p.name, p.queue, p.route, c.capacity())
		if err := c.play(p.name, fmt.Sprintf(livePolicies, p.queue, p.route)); err != nil {
			return merry.Prepend(err, p.name)
		}
	}
	return nil
}

func (c *liveCommand) play(name, policy string) error {
	ctx := context.Background()
	f, err := ferrydemo.New(ferrydemo.Config{
		Dir: c.Programs, Engines: c.Engines, Entries: c.Entries, Slots: liveSlots, TokensPerSecond: c.Rate, Policy: policy,
	})
	if err != nil {
		return err
	}
	defer f.KillAll()
	if err := c.start(ctx, f); err != nil {
		return err
	}
	w, err := readWorkload(c.Workload)
	if err != nil {
		return err
	}
	load := &loadCommand{Keys: []string{ferrydemo.CustomerKey}, Service: ferrydemo.ModelService, Plain: ferrydemo.PlainService, MaxOpen: liveMaxOpen}
	for _, e := range f.Entries {
		load.Entries = append(load.Entries, e.Callers)
	}
	arrivals := scaled(w, c.capacity()*c.Load, c.Duration)
	s := ferryload.Run(ctx, load.config(w), w, arrivals)
	s.Result.Bound = c.capacity()
	if err := ferryreport.WriteText(os.Stdout, s.Result); err != nil {
		return merry.Prepend(err, "print report")
	}
	fmt.Printf("%d arrivals unsent; %d failures that may have run\n", s.Unsent, s.Unknown)
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return merry.Prepend(err, "make directory for the report")
	}
	return ferryreport.WriteJSON(filepath.Join(c.Out, w.Name+"-live-"+name+".json"), s)
}

func (c *liveCommand) start(ctx context.Context, f *ferrydemo.Fleet) error {
	if err := f.StartUpstreams(ctx); err != nil {
		return err
	}
	for _, e := range f.Entries {
		if err := f.StartEntry(ctx, e); err != nil {
			return err
		}
	}
	for service, text := range map[ferryid.ServiceName]string{ferrydemo.ModelService: f.ModelDocument(256), ferrydemo.PlainService: f.PlainDocument()} {
		if err := f.Accept(ctx, string(service), text); err != nil {
			return err
		}
	}
	time.Sleep(liveSettle)
	return nil
}
