package ferrydocument

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/klauspost/compress/zstd"
	"gotest.tools/v3/assert"
)

// largeText returns a text of the given size with little repetition.
func largeText(bytes int) string {
	var s strings.Builder
	for i := 0; s.Len() < bytes; i++ {
		fmt.Fprintf(&s, "[[Customers]]\nName = \"farm-%d\"\nKeySHA256 = [\"%064x\"]\n", i, uint64(i+1)*0x9E3779B97F4A7C15)
	}
	return s.String()[:bytes]
}

func TestDeltaOfOneLineIsSmall(t *testing.T) {
	for _, bytes := range []int{20 << 10, 512 << 10, maxSourceBytes} {
		base := largeText(bytes - 1)
		text := strings.Replace(base, "farm-50\"", "farm-50x\"", 1)
		delta := encodeDelta(base, text)
		assert.Assert(t, len(delta) > 0 && len(delta) < 300, "%d bytes of %d", len(delta), bytes)
		got, err := applyDelta(base, delta)
		assert.NilError(t, err)
		assert.Assert(t, got == text)
		_, err = applyDelta(largeText(bytes-2)+"y", delta)
		assert.Assert(t, err != nil || bytes == 0, "delta applied to another base without an error")
	}
}

func TestNoDeltaIfItSavesLittle(t *testing.T) {
	for _, tc := range []struct{ name, base, text string }{
		{"no base", "", largeText(2000)},
		{"too large a base", largeText(maxSourceBytes + 1), largeText(2000)},
		{"too large a text", largeText(2000), largeText(maxSourceBytes + 1)},
		{"short", "a", "Service"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			assert.Equal(t, len(encodeDelta(tc.base, tc.text)), 0)
		})
	}
}

// decompressionBombs returns deltas that decompress to far more than maxSourceBytes.
func decompressionBombs(t testing.TB) [][]byte {
	t.Helper()
	enc, err := zstd.NewWriter(nil, zstd.WithSingleSegment(true))
	assert.NilError(t, err)
	defer enc.Close()
	one := enc.EncodeAll(make([]byte, maxSourceBytes), nil)
	unsized, err := zstd.NewWriter(nil, zstd.WithWindowSize(64<<20))
	assert.NilError(t, err)
	defer unsized.Close()
	return [][]byte{
		enc.EncodeAll(make([]byte, 64<<20), nil),
		[]byte(strings.Repeat(string(one), 64)),
		unsized.EncodeAll(make([]byte, 32<<20), nil),
	}
}

func TestHostileDeltaTakesBoundedMemory(t *testing.T) {
	base := largeText(2000)
	for i, b := range decompressionBombs(t) {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		out, err := applyDelta(base, b)
		runtime.ReadMemStats(&after)
		assert.Assert(t, err != nil, "delta %d decompressed to %d bytes", i, len(out))
		assert.Assert(t, after.TotalAlloc-before.TotalAlloc < 16<<20, "delta %d allocated %d bytes", i, after.TotalAlloc-before.TotalAlloc)
	}
}

func FuzzApplyDelta(f *testing.F) {
	base := largeText(3000)
	f.Add(encodeDelta(base, base+"x"))
	f.Add(encodeDelta(base, base[500:]+base[:500]))
	f.Add([]byte{0x28, 0xb5, 0x2f, 0xfd})
	for _, b := range decompressionBombs(f) {
		f.Add(b[:min(len(b), 4096)])
	}
	f.Fuzz(func(t *testing.T, delta []byte) {
		out, err := applyDelta(base, delta)
		if err != nil {
			assert.Equal(t, out, "")
		}
		assert.Assert(t, len(out) <= maxSourceBytes)
	})
}

func BenchmarkDelta(b *testing.B) {
	base := largeText(512 << 10)
	text := strings.Replace(base, "farm-50\"", "farm-50x\"", 1)
	delta := encodeDelta(base, text)
	b.Run("encode", func(b *testing.B) {
		for b.Loop() {
			encodeDelta(base, text)
		}
	})
	b.Run("apply", func(b *testing.B) {
		for b.Loop() {
			_, _ = applyDelta(base, delta)
		}
	})
}
