package ferrystream_test

import (
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrystream"
)

func text(p ferryid.Position) string { return fmt.Sprintf("w%d ", p) }

// In whatever order the tokens arrive, the output must be a prefix of the whole answer,
// and the whole answer once every token has arrived.
func TestAssemblerDeliversOnceAndInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 300).Draw(t, "tokens")
		from := ferryid.Position(rapid.IntRange(0, 5).Draw(t, "from"))
		pieces := rapid.SliceOfN(rapid.IntRange(0, n-1), 0, 2*n).Draw(t, "pieces")
		for i := range n {
			pieces = append(pieces, i)
		}
		a := ferrystream.NewAssembler(from)
		var out []ferrystream.Token
		missing := 0
		for _, i := range pieces {
			p := ferryid.Position(i)
			var err error
			out, err = a.Add(ferrystream.Token{Position: p, Text: text(p)}, out)
			var gap *ferrystream.GapError
			if errors.As(err, &gap) {
				missing++
				continue
			}
			assert.NilError(t, err)
		}
		for i, tok := range out {
			assert.Equal(t, tok.Position, from+ferryid.Position(i))
			assert.Equal(t, tok.Text, text(tok.Position))
		}
		if missing == 0 {
			assert.Equal(t, len(out), max(0, n-int(from)))
			assert.Equal(t, a.Buffered(), 0)
		}
	})
}

func TestAssemblerRejectsInvalidTokens(t *testing.T) {
	a := ferrystream.NewAssembler(0)
	out, err := a.Add(ferrystream.Token{Position: 0, Text: "a"}, nil)
	assert.NilError(t, err)
	assert.Equal(t, len(out), 1)
	var conflict *ferrystream.ConflictError
	_, err = a.Add(ferrystream.Token{Position: 0, Text: "b"}, nil)
	assert.Assert(t, errors.As(err, &conflict))
	var gap *ferrystream.GapError
	_, err = a.Add(ferrystream.Token{Position: 1 << 30, Text: "b"}, nil)
	assert.Assert(t, errors.As(err, &gap))
	_, err = a.Add(ferrystream.Token{Position: 0, Text: "a"}, nil)
	assert.NilError(t, err)
	assert.Equal(t, a.Duplicates(), 1)
}
