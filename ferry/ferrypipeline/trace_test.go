package ferrypipeline_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"cactusferry.dev/ferry/ferrypipeline"
)

// The traces were recorded on simulated engines with go test ./ferrystandengine -run Traces -record DIR in
// ferrystand; the golden files hold the actions of the core.
func TestTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/traces/*.trace")
	assert.NilError(t, err)
	assert.Assert(t, len(files) >= 7)
	for _, name := range files {
		f, err := os.Open(name)
		assert.NilError(t, err)
		trace, err := ferrypipeline.DecodeTrace(f)
		assert.NilError(t, err, name)
		assert.NilError(t, f.Close())
		out, err := trace.Replay(ferrypipeline.CoreConfig{ImportFrom: 1, MaxWaits: 2})
		assert.NilError(t, err)
		golden.Assert(t, out, "traces/"+strings.TrimSuffix(filepath.Base(name), ".trace")+".golden")
	}
}

func FuzzDecodeTrace(f *testing.F) {
	b, err := os.ReadFile("testdata/traces/late-and-twice.trace")
	assert.NilError(f, err)
	f.Add(string(b))
	f.Add("{}\n{\"Kind\":\"Planned\",\"Plan\":{}}\n")
	f.Fuzz(func(_ *testing.T, s string) {
		trace, err := ferrypipeline.DecodeTrace(strings.NewReader(s))
		if err != nil {
			return
		}
		_, _ = trace.Replay(ferrypipeline.CoreConfig{})
	})
}
