package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

const (
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	os.Exit(run(os.Args[1:]))
}

// run picks the subcommand; without one the daemon runs.
func run(args []string) int {
	if len(args) > 0 {
		switch args[0] {
		case "check":
			return check(args[1:])
		case "version":
			fmt.Println(version())
			return 0
		}
	}
	return serve(args)
}

// parseFailed prints what the flag parser has to say and returns the exit code.
func parseFailed(err error) int {
	var bad *flags.Error
	if errors.As(err, &bad) && bad.Type == flags.ErrHelp {
		fmt.Println(bad.Message)
		return 0
	}
	fmt.Fprintln(os.Stderr, "ferryd:", err)
	return exitUsage
}
