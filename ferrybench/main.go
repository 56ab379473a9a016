package main

import (
	"os"

	"cactusferry.dev/ferrystand/ferrycommand"
)

// subcommands are added by the file of each one.
var subcommands []ferrycommand.Adder

func main() {
	os.Exit(ferrycommand.Run("ferrybench", "load and experiments for cactusferry", subcommands, os.Args[1:], os.Stdout, os.Stderr))
}
