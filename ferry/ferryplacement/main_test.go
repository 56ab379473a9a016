package ferryplacement_test

import (
	"testing"

	"cactusferry.dev/ferry/ferryrapid"
)

// TestMain sets the default seed and size of the property tests; flags override them.
func TestMain(m *testing.M) {
	ferryrapid.Main(m, ferryrapid.Settings{Seed: 17, Checks: 100})
}
