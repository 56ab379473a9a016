package ferrymemory

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestHoldsNeverTakeMoreThanTheBudget also checks that all is given back, also if it is released twice.
func TestHoldsNeverTakeMoreThanTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const size = 64 << 10
		b := New(Config{Size: size})
		holds := []*Hold{b.Hold(), b.Hold(), b.Hold()}
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			h := rapid.SampledFrom(holds).Draw(t, "hold")
			before := b.Taken()
			if rapid.Bool().Draw(t, "release") {
				h.Release()
				continue
			}
			n := Bytes(rapid.IntRange(-1, size).Draw(t, "bytes"))
			fits := before+max(n, 0) <= size
			assert.Equal(t, h.Take(n), fits)
			assert.Assert(t, b.Taken() <= size)
		}
		for _, h := range holds {
			h.Release()
			h.Release()
		}
		assert.Equal(t, b.Taken(), Bytes(0))
	})
}

// TestReadKeepsToLimitAndBudget reads messages of any length with any limit: nothing is lost, and only the whole is said
// to be whole.
func TestReadKeepsToLimitAndBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 64<<10).Draw(t, "size")
		limit := rapid.IntRange(1, 64<<10).Draw(t, "limit")
		length := rapid.IntRange(0, 64<<10).Draw(t, "length")
		b := New(Config{Size: Bytes(size)})
		h := b.Hold()
		text := bytes.Repeat([]byte("a"), length)
		r := bytes.NewReader(text)
		got, whole, err := h.Read(iotest.OneByteReader(r), limit)
		assert.NilError(t, err)
		assert.Equal(t, len(got)+r.Len(), length)
		assert.Assert(t, cap(got) <= limit && cap(got) <= int(FreeBytes)+size)
		assert.Equal(t, b.Taken(), max(0, Bytes(cap(got))-FreeBytes))
		if whole {
			assert.Equal(t, len(got), length)
		}
		if length < min(limit, int(FreeBytes)) {
			assert.Assert(t, whole, "usual message not read")
		}
	})
}

func TestReadReportsAnError(t *testing.T) {
	broken := errors.New("broken")
	got, whole, err := New(Config{}).Hold().Read(io.MultiReader(strings.NewReader("ab"), iotest.ErrReader(broken)), 10)
	assert.Assert(t, errors.Is(err, broken) && !whole)
	assert.Equal(t, string(got), "ab")
}

func TestNilHoldHasNoBound(t *testing.T) {
	var h *Hold
	assert.Assert(t, h.Take(1<<40))
	h.Release()
}
