package main

import (
	"fmt"
	"os"
)

const checkHelp = `Usage: ferryd check FILE

Reads a settings file, applies the environment as the daemon would, and prints
every fault with its line and field. Nothing is started.

Example:

    ferryd check entry-1.toml`

func check(args []string) int {
	if len(args) != 1 || args[0] == "--help" || args[0] == "-h" {
		fmt.Println(checkHelp)
		if len(args) == 1 {
			return 0
		}
		return exitUsage
	}
	if _, err := load([]string{"--config", args[0]}); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	fmt.Println(args[0] + ": no faults")
	return 0
}
