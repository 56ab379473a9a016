package main

import (
	"fmt"
	"io"
	"math"
	"os"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jessevdk/go-flags"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryplacement"
	"cactusferry.dev/ferrybench/ferryfleet"
)

const boundHelp = `Prints an upper bound of the streams per second that the planned placement of a
model can serve, what determines it, and the bound over all placements of the
same engines. The placement is computed as for engines that hold no layers yet.
It opens no connections.

    ferrybench bound ferrybench/testdata/bound-m.toml
`

type boundCommand struct {
	Positional struct {
		File flags.Filename `positional-arg-name:"FILE" required:"yes" description:"description of the model, the engines and the demand"`
	} `positional-args:"yes"`
}

func init() {
	subcommands = append(subcommands, func(p *flags.Parser) error {
		_, err := p.AddCommand("bound", "bound what a placement can serve", boundHelp, &boundCommand{})
		return err
	})
}

// Execute reads the file, computes the bounds and prints them.
func (c *boundCommand) Execute([]string) error {
	name := string(c.Positional.File)
	data, err := os.ReadFile(name)
	if err != nil {
		return merry.Prepend(err, "read fleet")
	}
	f, err := ferryfleet.Decode(name, data)
	if err != nil {
		return err
	}
	return printBounds(os.Stdout, f)
}

// maxPlanRounds is the number of plans after which a placement that still changes is given up.
const maxPlanRounds = 50

// plannedPlacement returns the engines with the layers that they hold once the plan has no more orders.
func plannedPlacement(f *ferryfleet.Fleet) ([]ferryplacement.Engine, error) {
	engines := f.Empty()
	index := map[ferryid.UpstreamName]int{}
	lacking := map[ferryid.DomainName]time.Duration{}
	for i := range engines {
		index[engines[i].Name] = i
		lacking[engines[i].Domain] = time.Minute
	}
	m := f.Config()
	for range maxPlanRounds {
		orders := ferryplacement.Plan(ferryplacement.Input{Model: m, Engines: engines, Lacking: lacking})
		if len(orders) == 0 {
			return engines, nil
		}
		for _, o := range orders {
			e := &engines[index[o.Engine]]
			e.Held, e.Live = o.Layers, o.Layers
		}
	}
	return nil, fmt.Errorf("the plan still has orders after %d rounds", maxPlanRounds)
}

// printBounds prints the bounds of the planned placement and of all placements.
func printBounds(w io.Writer, f *ferryfleet.Fleet) error {
	engines, err := plannedPlacement(f)
	if err != nil {
		return err
	}
	m := f.Config()
	demand := ferryplacement.Demand{Prompt: ferryid.Tokens(m.UsualPrompt), Answer: ferryid.Tokens(m.UsualAnswer)}
	planned := ferryplacement.PlacementBound(m, engines, demand)
	best := ferryplacement.BestBound(m, engines, demand)
	var b strings.Builder
	b.WriteString("| streams/s | demand | in a burst | planned placement, at most | any placement, at most | ratio |\n|---|---|---|---|---|---|\n")
	total := 0.0
	for i, d := range planned.Domains {
		n := demandOf(f, d.Domain)
		total += n
		row(&b, "within "+string(d.Domain), n, f.Burst, d.Streams, best.Domains[i].Streams)
	}
	row(&b, "all", total, f.Burst, planned.Streams, best.Streams)
	fmt.Fprintf(&b, "\nLinks between failure domains carry at most %s streams/s; they %s the planned placement and %s all placements.\n",
		number(planned.Crossing), limits(planned), limits(best))
	b.WriteString("\nPlanned placement:\n\n")
	for _, d := range planned.Domains {
		describeLimit(&b, "within "+string(d.Domain), &d.Limit)
	}
	describeLimit(&b, "all, without a limit of the links", &planned.All)
	b.WriteString("\nAny placement:\n\n")
	for _, d := range best.Domains {
		describeLimit(&b, "within "+string(d.Domain), &d.Limit)
	}
	describeLimit(&b, "all, without a limit of the links", &best.All)
	_, err = io.WriteString(w, b.String())
	return err
}

func limits(b *ferryplacement.Bound) string {
	if b.LinksBind() {
		return "limit"
	}
	return "do not limit"
}

func demandOf(f *ferryfleet.Fleet, d ferryid.DomainName) float64 {
	sum := 0.0
	for _, x := range f.Demand {
		if x.Domain == d {
			sum += x.Streams
		}
	}
	return sum
}

func row(b *strings.Builder, name string, demand, burst, planned, best float64) {
	ratio := "-"
	if best > 0 {
		ratio = fmt.Sprintf("%.2f", planned/best)
	}
	fmt.Fprintf(b, "| %s | %s | %s | %s | %s | %s |\n", name, number(demand), number(demand*burst), number(planned), number(best), ratio)
}

func number(v float64) string {
	if math.IsInf(v, 1) {
		return "any number of"
	}
	return fmt.Sprintf("%.1f", v)
}

// describeLimit prints the layers that determine a limit, and the engines by accelerator type and resource.
func describeLimit(b *strings.Builder, name string, l *ferryplacement.Limit) {
	fmt.Fprintf(b, "- %s: %s streams/s", name, number(l.Streams))
	for i, r := range l.Layers {
		sep := ", "
		if i == 0 {
			sep = ", layers "
		}
		fmt.Fprintf(b, "%s%s", sep, r)
	}
	if l.SharedMemory {
		b.WriteString(", by memory for the mean duration of all streams")
	}
	b.WriteString("\n")
	type kind struct {
		accelerator string
		resource    ferryplacement.Resource
	}
	var kinds []kind
	groups := map[kind][]ferryplacement.EngineLimit{}
	for _, e := range l.Engines {
		k := kind{string(e.Engine.Accelerator.Name), e.Resource}
		if groups[k] == nil {
			kinds = append(kinds, k)
		}
		groups[k] = append(groups[k], e)
	}
	for _, k := range kinds {
		sum, names := 0.0, []string{}
		for _, e := range groups[k] {
			sum += e.Rate
			if e.Engine.Held.Len() > 0 && len(l.Layers) > 0 {
				names = append(names, fmt.Sprintf("%s %s", e.Engine.Name, e.Engine.Held))
			}
		}
		fmt.Fprintf(b, "  - %d %s by %s, %s streams/s through one layer", len(groups[k]), k.accelerator, k.resource, number(sum))
		if len(names) > 0 {
			fmt.Fprintf(b, ": %s", strings.Join(names, ", "))
		}
		b.WriteString("\n")
	}
}
