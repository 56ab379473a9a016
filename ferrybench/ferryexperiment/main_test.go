package ferryexperiment

import (
	"testing"

	"cactusferry.dev/ferry/ferryrapid"
)

// TestMain sets a fixed seed and number of checks for the property tests; flags on the command line override
// them.
func TestMain(m *testing.M) {
	ferryrapid.Main(m, ferryrapid.Settings{Seed: 20261204, Checks: 25})
}
