package ferrystream_test

import (
	"testing"

	"cactusferry.dev/ferry/ferryrapid"
)

// TestMain fixes the seed of the random tests unless flags override it.
func TestMain(m *testing.M) {
	ferryrapid.Main(m, ferryrapid.Settings{Seed: 1})
}
