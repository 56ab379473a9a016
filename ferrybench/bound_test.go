package main

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"cactusferry.dev/ferrybench/ferryfleet"
)

// TestBoundsOfDeployments guards against unnoticed changes of the bounds and of the planned placement.
func TestBoundsOfDeployments(t *testing.T) {
	for _, name := range []string{"bound-m", "bound-w"} {
		t.Run(name, func(t *testing.T) {
			data, err := os.ReadFile("testdata/" + name + ".toml")
			assert.NilError(t, err)
			f, err := ferryfleet.Decode(name, data)
			assert.NilError(t, err)
			var b strings.Builder
			assert.NilError(t, printBounds(&b, f))
			golden.Assert(t, b.String(), name+".golden")
		})
	}
}
