// Package ferryrapid sets up the random tests of a package.
package ferryrapid

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// Settings are those of the package pgregory.net/rapid; a count of 0 leaves rapid's own.
type Settings struct {
	Seed   uint64
	Checks int
	Steps  int
}

// Main is for TestMain: it runs the tests with the settings, save where the command line says otherwise, and writes no files of failures.
func Main(m *testing.M, s Settings) {
	set("rapid.seed", strconv.FormatUint(s.Seed, 10))
	set("rapid.nofailfile", "true")
	if s.Checks > 0 {
		set("rapid.checks", strconv.Itoa(s.Checks))
	}
	if s.Steps > 0 {
		set("rapid.steps", strconv.Itoa(s.Steps))
	}
	flag.Parse()
	os.Exit(m.Run())
}

// set changes a default, so that what flag.Parse reads later counts more.
func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
