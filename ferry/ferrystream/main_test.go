package ferrystream_test

import (
	"testing"

	"cactusferry.dev/ferry/ferryrapid"
)

// TestMain fixes the seed and bounds the random tests, unless the command line says otherwise.
func TestMain(m *testing.M) {
	ferryrapid.Main(m, ferryrapid.Settings{Seed: 1})
}
