package main

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

func TestEmbeddedWorkloadsAreValid(t *testing.T) {
	files, err := workloads.ReadDir("workloads")
	assert.NilError(t, err)
	for _, f := range files {
		w, err := readWorkload(f.Name()[:len(f.Name())-len(".toml")])
		assert.NilError(t, err)
		assert.Equal(t, w.Units() <= 40, true)
		assert.Assert(t, len(w.Arrivals()) > 1000)
	}
}

func TestTableOfFigures(t *testing.T) {
	fs := []figure{
		{Point: "1", Measure: "a", Unit: "x", Target: atMost(1.5), Baseline: 2, Now: 1, Met: true, Seed: 3, Command: "ferrybench policy --point 1"},
		{Point: "2", Measure: "b", Unit: "s", Target: atLeast(0.95), Baseline: math.Inf(1), Now: 0.5, Seed: 3, Command: "ferrybench policy --point 2"},
		{Point: "3", Measure: "c", Unit: "ms", Now: 12.3456, Command: "ferrybench policy --point 3"},
	}
	var b writer
	assert.NilError(t, writeTable(&b, fs))
	golden.Assert(t, string(b), "table.golden")
}

type writer []byte

func (w *writer) Write(p []byte) (int, error) {
	*w = append(*w, p...)
	return len(p), nil
}
