package ferryfleet

import (
	"errors"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferrytoml"
)

// TestInvalidFieldsAreNamed guards against a fleet that is accepted with numbers for which no bound exists.
func TestInvalidFieldsAreNamed(t *testing.T) {
	data, err := os.ReadFile("../testdata/bound-m.toml")
	assert.NilError(t, err)
	for _, tt := range []struct{ old, replacement, field string }{
		{"Layers = 80", "Layers = 0", "Model.Layers"},
		{"LayerSize = 1750.0", "LayerSize = nan", "Model.LayerSize"},
		{"TokenBytes = 492000", "TokenBytes = -1", "Model.TokenBytes"},
		{"StepTime = \"1.02ms\"", "StepTime = \"-1ms\"", "Model.StepTime"},
		{"Burst = 1.5", "Burst = 0.5", "Burst"},
		{"Memory = 72000.0", "Memory = -inf", "Accelerators[0].Memory"},
		{"Accelerator = \"l4\"", "Accelerator = \"none\"", "Engines[6].Accelerator"},
		{"Count = 3", "Count = -3", "Engines[0].Count"},
		{"Domain = \"a\"", "Domain = \"\"", "Engines[0].Domain"},
		{"OneWay = \"750us\"", "OneWay = \"-1s\"", "Delays[0].OneWay"},
		{"Streams = 97.0", "Streams = nan", "Demand[0].Streams"},
	} {
		t.Run(tt.field, func(t *testing.T) {
			text := strings.Replace(string(data), tt.old, tt.replacement, 1)
			assert.Assert(t, text != string(data), "the file has no %q", tt.old)
			_, err := Decode("fleet.toml", []byte(text))
			var faults *ferrytoml.FaultsError
			assert.Assert(t, errors.As(err, &faults), "no fault found: %v", err)
			assert.Equal(t, faults.Faults[0].Field, tt.field)
		})
	}
}

func TestEnginesOfFleet(t *testing.T) {
	data, err := os.ReadFile("../testdata/bound-m.toml")
	assert.NilError(t, err)
	f, err := Decode("bound-m.toml", data)
	assert.NilError(t, err)
	engines := f.Empty()
	assert.Equal(t, len(engines), 93)
	assert.Equal(t, string(engines[0].Name), "a-a100-01")
	assert.Equal(t, float64(engines[0].Accelerator.Memory), 72000.0)
	assert.Equal(t, string(engines[92].Name), "c-l4-11")
}
