package ferrystream_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the random tests unless one is given.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	flag.Parse()
	os.Exit(m.Run())
}
