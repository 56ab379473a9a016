package main

import (
	"os"

	"github.com/jessevdk/go-flags"

	"cactusferry.dev/ferrybench/ferrycapacity"
)

const changesHelp = `Measures what an edit of one line of a document costs an entry, spread whole
and as the difference to the version before. The cores run in this process on a
clock of their own:

    ferrybench changes --entries 9 --entries 100
`

type changesCommand struct {
	Entries []int `long:"entries" description:"a number of entries to measure (default 9, 50, 100)"`
	Sizes   []int `long:"size" description:"a document's size in KiB (default 20, 512)"`
}

func init() {
	subcommands = append(subcommands, func(p *flags.Parser) error {
		_, err := p.AddCommand("changes", "measure changes of documents", changesHelp, &changesCommand{})
		return err
	})
}

// Execute measures and prints.
func (c *changesCommand) Execute([]string) error {
	entries, sizes := c.Entries, c.Sizes
	if len(entries) == 0 {
		entries = []int{9, 50, 100}
	}
	if len(sizes) == 0 {
		sizes = []int{20, 512}
	}
	var ps []ferrycapacity.ChangePoint
	for _, n := range entries {
		for _, kib := range sizes {
			ps = append(ps, ferrycapacity.MeasureChange(n, kib<<10))
		}
	}
	ferrycapacity.PrintChanges(os.Stdout, ps)
	return nil
}
