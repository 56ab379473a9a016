package ferrypipeline_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and the count of the random tests unless they are given.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "500")
	flag.Parse()
	os.Exit(m.Run())
}
