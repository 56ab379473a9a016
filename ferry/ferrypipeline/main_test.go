package ferrypipeline_test

import (
	"testing"

	"cactusferry.dev/ferry/ferryrapid"
)

// TestMain sets the default seed and number of checks of the random tests; flags override them.
func TestMain(m *testing.M) {
	ferryrapid.Main(m, ferryrapid.Settings{Seed: 1, Checks: 500})
}
