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

// run executes the subcommand, or the daemon if there is none, and returns the exit code.
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

// reportError prints an error of the flag parser or of the settings and returns the exit code.
func reportError(err error) int {
	var bad *flags.Error
	if errors.As(err, &bad) && bad.Type == flags.ErrHelp {
		fmt.Println(bad.Message)
		return 0
	}
	fmt.Fprintln(os.Stderr, "ferryd:", err)
	return exitUsage
}
