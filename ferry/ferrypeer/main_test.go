package ferrypeer_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and the count of the stateful tests unless the command line sets them.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "15", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
