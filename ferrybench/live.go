package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jessevdk/go-flags"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferrybench/ferryload"
	"cactusferry.dev/ferrybench/ferryreport"
	"cactusferry.dev/ferrybench/ferryworkload"
	"cactusferry.dev/ferrystand/ferrydemo"
)

const liveHelp = `Starts a platform, engines and entries as separate processes and runs the same
arrivals and faults of a workload twice: with the baseline (FIFO queue, random
engines) and with the present policy. Without --workload it measures the stated
targets and prints a table of them.

Examples:

    ferrybench live                                all points, about a quarter of an hour
    ferrybench live --point 4
    ferrybench live --point 4 --present            the present policy only
    ferrybench live --workload holding --engines 12 --entries 3 --rate 200 --duration 20s --load 0.8`

const (
	policyFormat = "[Policy]\nQueue = %q\nRoute = %q\n\n"
	maxOpenCalls = 4000
	settleTime   = 2 * time.Second
	// drainTimeout is the time that open calls get after the end of the workload; calls open after that count
	// as lost.
	drainTimeout = 30 * time.Second
	// callersPerCustomer is the number of callers per customer, each with its own steering answer.
	callersPerCustomer = 40
	shortMaxTokens     = 256
)

type liveCommand struct {
	Programs string        `long:"programs" default:"bin" description:"directory of ferryd, ferryctl and ferrystand"`
	Points   []int         `long:"point" description:"measure only the point with this number; may be given again"`
	Present  bool          `long:"present" description:"run only the present policy"`
	Workload string        `long:"workload" description:"run this workload instead: a file or the name of an embedded workload"`
	Engines  int           `long:"engines" description:"number of engines, each with half of the layers; 0 uses the workload's"`
	Entries  int           `long:"entries" description:"number of entries; 0 uses the workload's"`
	Rate     int           `long:"rate" description:"rate of each engine in tokens/s; 0 uses twice the rate of the workload's first runners"`
	Slots    int           `long:"slots" description:"concurrent streams per engine; 0 uses the workload's"`
	Load     float64       `long:"load" default:"1" description:"share of the fleet's capacity that a load of 1 in the workload corresponds to"`
	Duration time.Duration `long:"duration" description:"duration of the load; 0 uses the workload's"`
	Out      string        `long:"out" default:"out" description:"directory for the JSON reports"`
}

// livePolicy is a queueing and routing policy under comparison.
type livePolicy struct{ name, queue, route string }

var (
	liveBaseline = livePolicy{"baseline", "Fifo", "Random"}
	livePresent  = livePolicy{"present", "Fair", "LeastWork"}
)

func init() {
	subcommands = append(subcommands, func(p *flags.Parser) error {
		_, err := p.AddCommand("live", "compare the policies with real processes", liveHelp, &liveCommand{})
		return err
	})
}

// Execute runs the policies and prints their reports. Without --workload it prints the table of points too.
func (c *liveCommand) Execute([]string) error {
	if c.Workload != "" {
		return c.compare()
	}
	var all []figure
	for _, p := range livePoints {
		if len(c.Points) > 0 && !slices.Contains(c.Points, p.number) {
			continue
		}
		fs, err := c.measurePoint(p)
		if err != nil {
			return merry.Prepend(err, p.workload)
		}
		all = append(all, fs...)
	}
	return writeTable(os.Stdout, all)
}

// policies returns the policies to run, the present one last.
func (c *liveCommand) policies() []livePolicy {
	if c.Present {
		return []livePolicy{livePresent}
	}
	return []livePolicy{liveBaseline, livePresent}
}

func (c *liveCommand) compare() error {
	for _, p := range c.policies() {
		w, err := readWorkload(c.Workload)
		if err != nil {
			return err
		}
		if _, err := c.run(w, p, w.Name, 0); err != nil {
			return merry.Prepend(err, p.name)
		}
	}
	return nil
}

// liveRun is the result of one run with real processes.
type liveRun struct {
	*ferryload.Summary
	fleet *liveFleet
}

// run starts a fleet, runs the workload's arrivals and faults, prints the report and stops the fleet.
func (c *liveCommand) run(w *ferryworkload.Workload, p livePolicy, name string, minLifetime time.Duration) (*liveRun, error) {
	l, err := c.newFleet(w, p)
	if err != nil {
		return nil, err
	}
	defer l.KillAll()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := l.start(ctx); err != nil {
		return nil, err
	}
	fmt.Printf("== %s, %s: queue %s, route %s; %d engines, %d entries\n", name, p.name, p.queue, p.route, len(l.Engines), len(l.Entries))
	arrivals := scaledArrivals(w, l.capacity(0)*c.Load, c.Duration)
	limited, end := context.WithTimeout(ctx, time.Duration(w.Duration)+drainTimeout)
	defer end()
	go l.injectFaults(limited)
	go l.pollStatus(limited)
	r := &liveRun{Summary: ferryload.Run(limited, c.load(l, minLifetime), w, arrivals), fleet: l}
	c.complete(r)
	return r, c.report(r, name+"-"+p.name)
}

// complete sets the fields of the result that depend on the fleet.
func (c *liveCommand) complete(r *liveRun) {
	r.Result.Bound = r.fleet.capacity(0)
	r.Result.Policy.Name = r.fleet.policy.name
	for i := range r.Result.Seconds {
		r.Result.Seconds[i].Bound = r.fleet.capacity(time.Duration(i) * time.Second)
	}
	r.Result.SlowFound = r.fleet.slowFound()
	r.Result.Resumes = r.Resumed
}

func (c *liveCommand) load(l *liveFleet, minLifetime time.Duration) ferryload.Config {
	load := &loadCommand{Service: ferrydemo.ModelService, Plain: ferrydemo.PlainService, MaxOpen: maxOpenCalls}
	for _, t := range l.tenants {
		load.Keys = append(load.Keys, t.Name+"="+t.Key)
	}
	for _, e := range l.Entries {
		load.Entries = append(load.Entries, e.CallerAddress)
	}
	cfg := load.config(l.workload)
	cfg.Callers, cfg.MinLifetime = callersPerCustomer, minLifetime
	return cfg
}

func (c *liveCommand) report(r *liveRun, name string) error {
	if err := ferryreport.WriteText(os.Stdout, r.Result); err != nil {
		return merry.Prepend(err, "print text report")
	}
	fmt.Printf("%d arrivals unsent; %d failures that may have run; %d streams resumed, %d resumptions refused; %d streams of wrong length; failures %v; slow %v\n\n",
		r.Unsent, r.Unknown, r.Resumed, r.RefusedResumes, r.Uneven, r.Failures, r.Result.SlowFound)
	if c.Out == "" {
		return nil
	}
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return merry.Prepend(err, "create directory for the report")
	}
	return ferryreport.WriteJSON(filepath.Join(c.Out, "live-"+strings.TrimPrefix(name, "live-")+".json"), r.Summary)
}

// firstNonZero returns a, or b if a is zero.
func firstNonZero(a, b int) int {
	if a != 0 {
		return a
	}
	return b
}

// newFleet returns a fleet configured from the workload and the flags; flags take precedence.
func (c *liveCommand) newFleet(w *ferryworkload.Workload, p livePolicy) (*liveFleet, error) {
	l := &liveFleet{workload: w, policy: p, slowFoundAt: map[string]time.Duration{}}
	for _, cu := range w.Customers {
		l.tenants = append(l.tenants, ferrydemo.CustomerConfig{Name: string(cu.Name), Key: "live-key-" + string(cu.Name), Share: cu.Share})
	}
	first := w.Runners[0]
	f, err := ferrydemo.New(ferrydemo.Config{
		Dir: c.Programs, Engines: firstNonZero(c.Engines, w.Runners.Count()), Entries: firstNonZero(c.Entries, w.Entries), Slots: firstNonZero(c.Slots, first.Slots),
		TokensPerSecond: firstNonZero(c.Rate, int(2*first.Rate)), Customers: l.tenants, Policy: fmt.Sprintf(policyFormat, p.queue, p.route),
	})
	l.Fleet = f
	return l, err
}

func (l *liveFleet) start(ctx context.Context) error {
	if err := l.StartUpstreams(ctx); err != nil {
		return err
	}
	for _, e := range l.Entries {
		if err := l.StartEntry(ctx, e); err != nil {
			return err
		}
	}
	for service, text := range map[ferryid.ServiceName]string{ferrydemo.ModelService: l.ModelDocument(shortMaxTokens), ferrydemo.PlainService: l.PlainDocument()} {
		if err := l.ApplyFirst(ctx, string(service), text); err != nil {
			return err
		}
	}
	time.Sleep(settleTime)
	return nil
}
