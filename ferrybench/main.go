package main

import (
	"os"

	"cactusferry.dev/ferrystand/ferrycommand"
)

// subcommands is filled by the init functions of the files of the subcommands.
var subcommands []ferrycommand.Adder

func main() {
	os.Exit(ferrycommand.Run("ferrybench", "load tests, experiments and measurements for cactusferry", subcommands, os.Args[1:], os.Stdout, os.Stderr))
}
