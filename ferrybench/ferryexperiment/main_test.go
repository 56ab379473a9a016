package ferryexperiment

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed, which -rapid.seed overrides.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "25")
	os.Exit(m.Run())
}
