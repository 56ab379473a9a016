package ferrysettings

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"cactusferry.dev/ferry/ferrytoml"
)

const complete = `Name = "entry-1"
FailureDomain = "ruse-a"

[Callers]
Listen = "127.0.0.1:8001"

[Peers]
Listen = "127.0.0.1:8101"
Seeds = ["127.0.0.1:8102"]

[Platform]
URL = "http://127.0.0.1:9000"

[Keys]
Seal = ["00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"]
OperatorToken = "secret"
`

func TestDefaults(t *testing.T) {
	s, err := Decode("entry.toml", []byte(complete))
	assert.NilError(t, err)
	s.SetDefaults()
	assert.NilError(t, s.Validate("entry.toml", []byte(complete)))
	assert.Equal(t, s.Callers.Advertise, "127.0.0.1:8001")
	assert.Equal(t, time.Duration(s.Platform.Timeout), 2*time.Second)
	assert.Equal(t, len(s.Keys.SealKeys()[0]), 32)
}

func TestValidateReportsAllFaults(t *testing.T) {
	const bad = `Name = "Entry 1"
FailureDomain = ""

[Callers]
Listen = "localhost"
HeaderBytes = 10
BodyTimeout = "0s1"

[Callers.TLS]
Certificate = "a.pem"

[Peers]
Listen = "127.0.0.1:8101"
Seeds = ["x"]

[Platform]
URL = "nowhere"
CallsPerSecond = -3

[Keys]
Seal = ["zz"]

[Log]
Level = "loud"
`
	s, err := Decode("entry.toml", []byte(bad))
	s.SetDefaults()
	err = ferrytoml.Join(err, s.Validate("entry.toml", []byte(bad)))
	var faults *ferrytoml.FaultsError
	assert.Assert(t, errors.As(err, &faults))
	golden.Assert(t, err.Error()+"\n", "faults.golden")
}

func TestValidateWithoutText(t *testing.T) {
	s, err := Decode("entry.toml", []byte("Name = \"Entry 1\"\n[Callers]\nListen = \"x\"\n[Keys]\nSeal = [\"zz\"]\n"))
	assert.NilError(t, err)
	s.SetDefaults()
	golden.Assert(t, s.Validate("entry.toml", nil).Error()+"\n", "missing.golden")
}

func TestUnknownField(t *testing.T) {
	_, err := Decode("entry.toml", []byte("Nmae = \"x\"\n"))
	assert.ErrorContains(t, err, "line 1: Nmae: unknown field")
}
