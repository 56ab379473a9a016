package main

import (
	"os"

	"cactusferry.dev/ferrystand/ferrycommand"
)

// subcommands are added by the file of each one.
var subcommands []ferrycommand.Adder

func main() {
	os.Exit(ferrycommand.Run("ferrystand", "stand-ins for the outside systems that cactusferry meets", subcommands, os.Args[1:], os.Stdout, os.Stderr))
}
