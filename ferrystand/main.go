package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

// subcommands are added by the file of each one.
var subcommands []func(*flags.Parser) error

func main() {
	p := flags.NewNamedParser("ferrystand", flags.HelpFlag|flags.PassDoubleDash)
	p.ShortDescription = "stand-ins for the outside systems that cactusferry meets"
	for _, add := range subcommands {
		if err := add(p); err != nil {
			fmt.Fprintln(os.Stderr, "ferrystand:", err)
			os.Exit(2)
		}
	}
	_, err := p.Parse()
	var bad *flags.Error
	switch {
	case err == nil:
	case errors.As(err, &bad) && bad.Type == flags.ErrHelp:
		fmt.Println(err)
	default:
		fmt.Fprintln(os.Stderr, "ferrystand:", err)
		os.Exit(1)
	}
}
