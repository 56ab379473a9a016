package ferryworkload

import (
	"errors"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"cactusferry.dev/ferry/ferrytoml"
)

const invalidWorkload = `Name = ""
Duration = "0s"
Prediction = "Guess"
Colour = 3
Entries = 0
[Layout]
Layers = 4
Stages = [2, 5]
[[Runners]]
Name = "a"
Count = 2
Rate = nan
StreamRate = -1
Slots = 0
[[Customers]]
Name = "Bad Name"
Share = 0
[[Kinds]]
Name = "q"
Weight = inf
Tokens = 99999999
Spread = 9
[[Phases]]
At = "5s"
Load = 1e9
[[Phases]]
At = "5s"
Load = 1
[[Faults]]
At = "10s"
Kind = "Explode"
Count = 90
`

const validWorkload = `Name = "small"
Seed = 1
Duration = "20s"
[[Runners]]
Name = "a"
Count = 2
Rate = 100
StreamRate = 20
Slots = 8
[[Customers]]
Name = "c"
Share = 1
Load = 1
[[Kinds]]
Name = "q"
Weight = 1
Prompt = 100
Tokens = 50
Spread = 0.4
[[Phases]]
At = "0s"
Load = 0.5
[[Phases]]
At = "10s"
Load = 1.5
Ramp = "2s"
`

func TestDecodeReportsAllErrors(t *testing.T) {
	tests := []struct{ name, text string }{
		{"unknown field", invalidWorkload},
		{"values", strings.Replace(invalidWorkload, "Colour = 3\n", "", 1)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Decode("faulty.toml", []byte(tt.text))
			var fe *ferrytoml.FaultsError
			assert.Assert(t, errors.As(err, &fe))
			golden.Assert(t, err.Error()+"\n", "faults-"+tt.name[:6]+".golden")
		})
	}
}

func TestArrivalsFollowLoadAndSeed(t *testing.T) {
	w, err := Decode("small.toml", []byte(validWorkload))
	assert.NilError(t, err)
	as, again := w.Arrivals(), w.Arrivals()
	assert.Equal(t, len(as), len(again))
	w.Seed = 2
	assert.Assert(t, len(w.Arrivals()) > 0 && w.Arrivals()[0].At != as[0].At)
	early, late := 0.0, 0.0
	for i, a := range as {
		assert.Equal(t, a.Tokens, again[i].Tokens)
		if a.At < 10*time.Second {
			early += a.Work()
		} else if a.At >= 12*time.Second {
			late += a.Work()
		}
	}
	assert.Assert(t, early/10 < w.Bound() && late/8 > w.Bound(), "%v %v of %v", early/10, late/8, w.Bound())
}

func TestPhasesRampLinearly(t *testing.T) {
	ps := Phases{{Load: 0.3}, {At: Duration(10 * time.Second), Load: 3.3, Ramp: Duration(2 * time.Second)}}
	for _, tt := range []struct {
		at   time.Duration
		want float64
	}{{0, 0.3}, {9 * time.Second, 0.3}, {11 * time.Second, 1.8}, {12 * time.Second, 3.3}, {time.Hour, 3.3}} {
		got := ps.Load(tt.at)
		assert.Assert(t, got > tt.want-1e-9 && got < tt.want+1e-9, "%v at %v", got, tt.at)
	}
}

func TestPlacementByRateBeatsEqualSplit(t *testing.T) {
	w, err := Decode("small.toml", []byte(`Name = "p"
Duration = "1s"
[Layout]
Layers = 40
Stages = [2]
LinkDelay = "2ms"
`+validWorkload[len("Name = \"small\"\nSeed = 1\nDuration = \"20s\"\n"):]))
	assert.NilError(t, err)
	w.Runners = Runners{{Name: "f", Count: 1, Rate: 300, StreamRate: 30, Slots: 100}, {Name: "s", Count: 1, Rate: 100, StreamRate: 10, Slots: 100}}
	byRate := w.Bound()
	w.Layout.Equal = true
	assert.Assert(t, byRate > 399 && byRate < 401, "%v", byRate)
	assert.Assert(t, w.Bound() > 199 && w.Bound() < 201, "%v", w.Bound())
}

func TestTooManyLayersAreRejected(t *testing.T) {
	text := strings.Replace(validWorkload, "[[Runners]]", "[Layout]\nLayers = 65535\nStages = [2]\n[[Runners]]", 1)
	_, err := Decode("deep.toml", []byte(text))
	assert.ErrorContains(t, err, "line 5: Layout.Layers: must be from 0 to 1024")
}

// FuzzDecode checks that no input makes the decoder panic or run long.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(invalidWorkload))
	f.Add([]byte(validWorkload))
	f.Fuzz(func(_ *testing.T, b []byte) {
		_, _ = Decode("fuzz.toml", b)
	})
}
