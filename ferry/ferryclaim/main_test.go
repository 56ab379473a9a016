package ferryclaim

import (
	"testing"

	"cactusferry.dev/ferry/ferryrapid"
)

// TestMain fixes the seed and bounds the random tests unless flags override them.
func TestMain(m *testing.M) {
	ferryrapid.Main(m, ferryrapid.Settings{Seed: 1, Checks: 500, Steps: 120})
}
