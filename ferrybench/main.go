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
	p := flags.NewNamedParser("ferrybench", flags.HelpFlag|flags.PassDoubleDash)
	p.ShortDescription = "load and experiments for cactusferry"
	for _, add := range subcommands {
		if err := add(p); err != nil {
			fmt.Fprintln(os.Stderr, "ferrybench:", err)
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
		fmt.Fprintln(os.Stderr, "ferrybench:", err)
		os.Exit(1)
	}
}
