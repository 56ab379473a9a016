package main

import (
	"context"
	"fmt"
	"time"

	"github.com/jessevdk/go-flags"

	"cactusferry.dev/ferrybench/ferryrelay"
)

const idleHelp = `Starts fleets of ferryd processes of several sizes and measures the control
overhead of an entry without calls.

Example:

    ferrybench idle --entries 9 --entries 30`

type idleCommand struct {
	Programs string        `long:"programs" default:"bin" description:"directory of ferryd, ferryctl and ferrystand"`
	Entries  []int         `long:"entries" default:"9" default:"30" description:"number of entries of a fleet; may be given again"`
	Engines  int           `long:"engines" default:"8" description:"number of engines of each fleet"`
	Duration time.Duration `long:"duration" default:"20s" description:"duration of the measurement of each fleet"`
}

func init() {
	subcommands = append(subcommands, func(p *flags.Parser) error {
		_, err := p.AddCommand("idle", "measure the control overhead of idle entries", idleHelp, &idleCommand{})
		return err
	})
}

// Execute runs the measurements and prints one line per fleet.
func (c *idleCommand) Execute([]string) error {
	for _, n := range c.Entries {
		r, err := ferryrelay.MeasureIdle(context.Background(), c.Programs, c.Engines, n, c.Duration)
		if err != nil {
			return err
		}
		fmt.Printf("%d entries, %d engines: %.3f%% of a core and %.1f MB per entry, %.1f platform calls/s in total; "+
			"an entry uses %.1f engines with load reports %s old and reads %.1f engines/s; an engine is read %.2f times/s\n",
			r.Entries, c.Engines, 100*r.CoreShare, float64(r.Bytes)/1e6, r.PlatformCalls,
			r.Engines, r.LoadAge.Round(10*time.Millisecond), r.LoadReads, r.LoadReads*float64(r.Entries)/float64(c.Engines))
	}
	return nil
}
