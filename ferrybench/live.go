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

const liveHelp = `Starts a platform, engines and entries, each a process of its own, and plays the
same arrivals and faults of a workload twice: with the baseline (one queue in
order of arrival, any engines) and with the present policy. Without --workload
it measures the stated targets and prints their table.

Examples:

    ferrybench live                                all points, about a quarter of an hour
    ferrybench live --point 4
    ferrybench live --point 4 --present            the present policy only
    ferrybench live --workload holding --engines 12 --entries 3 --rate 200 --duration 20s --load 0.8`

const (
	livePolicies = "[Policy]\nQueue = %q\nRoute = %q\n\n"
	liveMaxOpen  = 4000
	liveSettle   = 2 * time.Second
	// liveDrain is how long after the last arrival calls may still run; what is open then is lost.
	liveDrain = 30 * time.Second
	// liveCallers is how many callers each customer has, each with a steering answer of its own.
	liveCallers = 40
	shortTokens = 256
)

type liveCommand struct {
	Programs string        `long:"programs" default:"bin" description:"directory of ferryd, ferryctl and ferrystand"`
	Points   []int         `long:"point" description:"only the point of this number; may be given again"`
	Present  bool          `long:"present" description:"leave the baseline out"`
	Workload string        `long:"workload" description:"run this workload instead: a file, or the name of one that comes with ferrybench"`
	Engines  int           `long:"engines" description:"engines, each holding half of the layers; 0 is the workload's number"`
	Entries  int           `long:"entries" description:"entries; 0 is the workload's number"`
	Rate     int           `long:"rate" description:"tokens a second of each engine; 0 is twice the workload's rate of a runner"`
	Slots    int           `long:"slots" description:"streams that each engine runs at once; 0 is the workload's number"`
	Load     float64       `long:"load" default:"1" description:"the load that stands for the whole capacity in the workload, as a share of the fleet's"`
	Duration time.Duration `long:"duration" description:"stop sending after this long; 0 is the workload's own"`
	Out      string        `long:"out" default:"out" description:"directory for the JSON reports"`
}

// livePolicy is one of the two that are compared.
type livePolicy struct{ name, queue, route string }

var (
	liveBaseline = livePolicy{"baseline", "Fifo", "Random"}
	livePresent  = livePolicy{"present", "Fair", "LeastWork"}
)

func init() {
	subcommands = append(subcommands, func(p *flags.Parser) error {
		_, err := p.AddCommand("live", "compare the policies over real processes", liveHelp, &liveCommand{})
		return err
	})
}

// Execute runs both policies and prints their reports and, for points, the table.
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

// policies are those to run, the present one last.
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
		if _, err := c.play(w, p, w.Name, 0); err != nil {
			return merry.Prepend(err, p.name)
		}
	}
	return nil
}

// liveRun is what one run over real processes gave.
type liveRun struct {
	*ferryload.Summary
	fleet *liveFleet
}

// play starts a fleet, sends the workload's arrivals with its faults, prints the report and ends the fleet.
func (c *liveCommand) play(w *ferryworkload.Workload, p livePolicy, name string, keep time.Duration) (*liveRun, error) {
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
	arrivals := scaled(w, l.bound(0)*c.Load, c.Duration)
	limited, end := context.WithTimeout(ctx, time.Duration(w.Duration)+liveDrain)
	defer end()
	go l.playFaults(limited)
	go l.watch(limited)
	r := &liveRun{Summary: ferryload.Run(limited, c.load(l, keep), w, arrivals), fleet: l}
	c.finish(r)
	return r, c.report(r, name+"-"+p.name)
}

// finish fills in what only the fleet knows.
func (c *liveCommand) finish(r *liveRun) {
	r.Result.Bound = r.fleet.bound(0)
	r.Result.Policy.Name = r.fleet.policy.name
	for i := range r.Result.Seconds {
		r.Result.Seconds[i].Bound = r.fleet.bound(time.Duration(i) * time.Second)
	}
	r.Result.SlowFound = r.fleet.slowFound()
	r.Result.Resumes = r.Resumed
}

func (c *liveCommand) load(l *liveFleet, keep time.Duration) ferryload.Config {
	load := &loadCommand{Service: ferrydemo.ModelService, Plain: ferrydemo.PlainService, MaxOpen: liveMaxOpen}
	for _, t := range l.tenants {
		load.Keys = append(load.Keys, t.Name+"="+t.Key)
	}
	for _, e := range l.Entries {
		load.Entries = append(load.Entries, e.Callers)
	}
	cfg := load.config(l.w)
	cfg.Callers, cfg.MinLifetime = liveCallers, keep
	return cfg
}

func (c *liveCommand) report(r *liveRun, name string) error {
	if err := ferryreport.WriteText(os.Stdout, r.Result); err != nil {
		return merry.Prepend(err, "print report")
	}
	fmt.Printf("%d arrivals unsent; %d failures that may have run; %d streams resumed, %d refusals on the way; %d streams of wrong length; failures %v; slow %v\n\n",
		r.Unsent, r.Unknown, r.Resumed, r.RefusedResumes, r.Uneven, r.Failures, r.Result.SlowFound)
	if c.Out == "" {
		return nil
	}
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return merry.Prepend(err, "make directory for the report")
	}
	return ferryreport.WriteJSON(filepath.Join(c.Out, "live-"+strings.TrimPrefix(name, "live-")+".json"), r.Summary)
}

// or returns the first number unless it is zero.
func or(a, b int) int {
	if a != 0 {
		return a
	}
	return b
}

// newFleet lays out the fleet that the workload and the flags describe.
func (c *liveCommand) newFleet(w *ferryworkload.Workload, p livePolicy) (*liveFleet, error) {
	l := &liveFleet{w: w, policy: p, found: map[string]time.Duration{}}
	for _, cu := range w.Customers {
		l.tenants = append(l.tenants, ferrydemo.Tenant{Name: string(cu.Name), Key: "live-key-" + string(cu.Name), Share: cu.Share})
	}
	first := w.Runners[0]
	f, err := ferrydemo.New(ferrydemo.Config{
		Dir: c.Programs, Engines: or(c.Engines, w.Runners.Count()), Entries: or(c.Entries, w.Entries), Slots: or(c.Slots, first.Slots),
		TokensPerSecond: or(c.Rate, int(2*first.Rate)), Customers: l.tenants, Policy: fmt.Sprintf(livePolicies, p.queue, p.route),
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
	for service, text := range map[ferryid.ServiceName]string{ferrydemo.ModelService: l.ModelDocument(shortTokens), ferrydemo.PlainService: l.PlainDocument()} {
		if err := l.Accept(ctx, string(service), text); err != nil {
			return err
		}
	}
	time.Sleep(liveSettle)
	return nil
}
