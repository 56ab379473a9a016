package ferrycommand

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
)

// The exit codes of a program.
const (
	ExitDone   = 0
	ExitFailed = 1
	ExitBroken = 2
)

// Adder adds one subcommand to the parser.
type Adder func(*flags.Parser) error

// Run parses the arguments, runs the selected subcommand and returns the exit code.
func Run(name, description string, subcommands []Adder, args []string, out, errs io.Writer) int {
	p := flags.NewNamedParser(name, flags.HelpFlag|flags.PassDoubleDash)
	p.ShortDescription = description
	for _, add := range subcommands {
		if err := add(p); err != nil {
			fmt.Fprintf(errs, "%s: %v\n", name, err)
			return ExitBroken
		}
	}
	_, err := p.ParseArgs(args)
	var bad *flags.Error
	switch {
	case err == nil:
		return ExitDone
	case errors.As(err, &bad) && bad.Type == flags.ErrHelp:
		fmt.Fprintln(out, err)
		return ExitDone
	}
	fmt.Fprintf(errs, "%s: %v\n", name, err)
	return ExitFailed
}
