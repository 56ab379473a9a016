package ferrystandengine_test

import (
	"bytes"
	"context"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryengine/ferryenginetest"
	"cactusferry.dev/ferry/ferrypipeline"
	"cactusferry.dev/ferrystand/ferrystandengine"
)

var record = flag.String("record", "", "directory to write the recorded traces to")

// Jobs on engine stand-ins are recorded, and the recording must replay to the same
// tokens. With -record the traces are written for the golden files of ferrypipeline.
func TestTracesReplayToSameTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, tt := range []struct {
			name   string
			faults map[int]ferrystandengine.Faults
		}{
			{"whole", nil},
			{"first-stage-dies", map[int]ferrystandengine.Faults{0: {DieAtPosition: position(2)}}},
			{"last-stage-dies-in-its-answer", map[int]ferrystandengine.Faults{2: {DieAtPosition: position(3), DieWhen: ferrystandengine.DieInLine}}},
			{"middle-stage-comes-back-empty", map[int]ferrystandengine.Faults{1: {EmptyAtPosition: position(4)}}},
			{"late-and-twice", map[int]ferrystandengine.Faults{
				0: {LateFromOldEpoch: true, Duplicate: true}, 1: {DieAtPosition: position(1)},
			}},
			{"all-leaving", map[int]ferrystandengine.Faults{2: {Leaving: true}, 5: {Leaving: true}}},
			{"dies-before-anything-and-its-twin-is-gone", map[int]ferrystandengine.Faults{
				0: {DieAtPosition: position(0)}, 3: {Leaving: true},
			}},
		} {
			f := newFleet(t, clockwork.NewRealClock())
			for i, faults := range tt.faults {
				f.engines[i].SetFaults(faults)
			}
			f.runner.Core.MaxWaits = 2
			rec := &ferrypipeline.Recorder{}
			f.runner.Trace = rec.Add
			got, _, _ := f.run(context.Background())
			trace := rec.Trace(f.job())
			var b bytes.Buffer
			assert.NilError(t, trace.Encode(&b))
			if *record != "" {
				assert.NilError(t, os.WriteFile(filepath.Join(*record, tt.name+".trace"), b.Bytes(), 0o644))
			}
			again, err := ferrypipeline.DecodeTrace(&b)
			assert.NilError(t, err, tt.name)
			out, err := again.Replay(f.runner.Core)
			assert.NilError(t, err)
			assert.Equal(t, strings.Count(out, "Emit token"), len(got), tt.name)
			want := ferryenginetest.Reference(cutSeed, cutPrompt, cutTokens, testLayers)
			for i := range got {
				assert.Assert(t, strings.Contains(out, `"`+want[i]+`"`), "%s: token %d", tt.name, i)
			}
		}
	})
}
