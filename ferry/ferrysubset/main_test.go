package ferrysubset_test

import (
	"testing"

	"cactusferry.dev/ferry/ferryrapid"
)

// TestMain sets the seed and the size of the random tests, unless they are set by flags.
func TestMain(m *testing.M) {
	ferryrapid.Main(m, ferryrapid.Settings{Seed: 1, Checks: 100})
}
