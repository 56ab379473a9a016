package ferrystream

import (
	"bytes"
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cactusferry.dev/ferry/ferryid"
)

// The fixed fields followed by the variable fields must equal the encoding of the whole Resume
// by the library.
func TestFixedAndVariableFieldsEqualWholeEncoding(t *testing.T) {
	numbers := rapid.OneOf(rapid.Uint64(), rapid.SampledFrom([]uint64{0, 23, 24, 255, 256, 65535, 65536, math.MaxUint32, math.MaxUint32 + 1, math.MaxInt64}))
	rapid.Check(t, func(t *rapid.T) {
		r := Resume{
			Customer: "c", Service: "s", Stream: "x", Pipeline: rapid.SampledFrom([]string{"", "p"}).Draw(t, "pipeline"), Seed: numbers.Draw(t, "seed"),
			Issued: int64(numbers.Draw(t, "issued") & math.MaxInt64), Epoch: ferryid.Epoch(numbers.Draw(t, "epoch")),
			Next: ferryid.Position(numbers.Draw(t, "next")), History: History(numbers.Draw(t, "history")),
		}
		head, err := encodeFixedFields(r)
		assert.NilError(t, err)
		var whole bytes.Buffer
		assert.NilError(t, encMode.MarshalToBuffer(&r, &whole))
		assert.DeepEqual(t, appendVariableFields(head, &r), whole.Bytes())
	})
}
