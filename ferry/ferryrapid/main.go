// Package ferryrapid configures the random tests of a package.
package ferryrapid

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// Settings are settings of pgregory.net/rapid; 0 for Checks or Steps means rapid's default.
type Settings struct {
	Seed   uint64
	Checks int
	Steps  int
}

// Main implements TestMain: it runs the tests with the settings unless flags override them,
// and disables rapid's failure files.
func Main(m *testing.M, s Settings) {
	setDefault("rapid.seed", strconv.FormatUint(s.Seed, 10))
	setDefault("rapid.nofailfile", "true")
	if s.Checks > 0 {
		setDefault("rapid.checks", strconv.Itoa(s.Checks))
	}
	if s.Steps > 0 {
		setDefault("rapid.steps", strconv.Itoa(s.Steps))
	}
	flag.Parse()
	os.Exit(m.Run())
}

// setDefault sets a flag before flag.Parse, which may override it.
func setDefault(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
