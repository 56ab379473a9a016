package main

import (
	"os"

	"github.com/jessevdk/go-flags"

	"cactusferry.dev/ferrybench/ferrycapacity"
)

const changesHelp = `Measures the cost per entry of a change of one line of a document, sent in full
and as a delta to the previous version. The entries are simulated in this process
on a virtual clock:

    ferrybench changes --entries 9 --entries 100
`

type changesCommand struct {
	Entries []int `long:"entries" description:"number of entries; may be given again (default 9, 50, 100)"`
	Sizes   []int `long:"size" description:"size of the document in KiB; may be given again (default 20, 512)"`
}

func init() {
	subcommands = append(subcommands, func(p *flags.Parser) error {
		_, err := p.AddCommand("changes", "measure the distribution of document changes", changesHelp, &changesCommand{})
		return err
	})
}

// Execute runs the measurements and prints the table.
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
