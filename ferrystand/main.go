package main

import (
	"os"

	"cactusferry.dev/ferrystand/ferrycommand"
)

// subcommands is filled by the init function of each subcommand's file.
var subcommands []ferrycommand.Adder

func main() {
	os.Exit(ferrycommand.Run("ferrystand", "stand-ins for the external systems of cactusferry, with a demo and fault tests", subcommands, os.Args[1:], os.Stdout, os.Stderr))
}
