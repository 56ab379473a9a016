package ferrytoml_test

import (
	"fmt"
	"math"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"cactusferry.dev/ferry/ferrytoml"
)

type text time.Duration

func (d *text) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = text(v)
	return err
}

type row struct {
	Name  string
	Slots int
	Wait  text
}

type file struct {
	Name  string
	Count uint16
	Share float64
	Tags  []string
	Wait  text
	On    bool
	Table struct{ Wait text }
	Rows  []row
}

func (f *file) Check(c *ferrytoml.Check) {
	if f.Name == "" {
		c.Fault("Name", "must not be empty")
	}
	if !(f.Share >= 0 && f.Share <= 1) {
		c.Fault("Share", "must be from 0 to 1, is %v", f.Share)
	}
	for i, r := range f.Rows {
		if r.Slots < 0 {
			c.Fault(fmt.Sprintf("Rows[%d].Slots", i), "must not be negative")
		}
	}
}

func TestFaults(t *testing.T) {
	tests := []struct{ name, text string }{
		{"sound", "Name = \"a\"\nShare = 0.5\nWait = \"1m\"\n[[Rows]]\nName = \"r\"\n"},
		{"wrong types on several lines", "Name = 3\nCount = \"x\"\nTags = [\n 1,\n 2,\n]\nOn = 1\nShare = 2\n[[Rows]]\nSlots = -1\n[[Rows]]\nSlots = \"q\"\nName = 4\n"},
		{"unknown fields beside wrong values", "Nam = \"a\"\nShare = nan\n[[Rows]]\nSlot = 1\nSlots = -1\n[Tabel]\nx = 1\n"},
		{"numbers not in range", "Name = \"a\"\nCount = 70000\nShare = inf\n"},
		{"negative infinity", "Name = \"a\"\nShare = -inf\n"},
		{"bare numbers for text", "Name = \"a\"\nWait = 60\n[Table]\nWait = 1.5\n[[Rows]]\nName = \"r\"\n[[Rows]]\nWait = 3\n"},
		{"bad duration", "Name = \"a\"\nWait = \"5 parsecs\"\n"},
		{"inline tables", "Name = \"a\"\nRows = [\n {Name = \"r\"},\n {Name = \"s\",\n  Slots = -1},\n]\n"},
		{"same key twice", "Name = \"a\"\nName = \"b\"\n"},
		{"same table twice", "Name = \"a\"\n[Table]\n[Table]\n"},
		{"no value", "Name = \n"},
		{"array without end", "Name = \"a\"\nTags = [\n"},
		{"string without end", "Name = \"\"\"a\n"},
		{"not UTF-8", "Name = \"\xff\"\n"},
		{"quoted key like a path", "Name = \"a\"\n\"Table.Wait\" = \"1s\"\n"},
		{"name in lower case", "name = \"a\"\n"},
		{"empty", ""},
		{"windows line ends", "Name = \"a\"\r\nShare = 2\r\n"},
	}
	var out strings.Builder
	for _, tt := range tests {
		var f file
		err := ferrytoml.Decode("f.toml", []byte(tt.text), &f)
		fmt.Fprintf(&out, "== %s\n%v\n", tt.name, err)
	}
	golden.Assert(t, out.String(), "faults.golden")
}

func TestDefaultsKeptAfterWrongType(t *testing.T) {
	f := file{Count: 7, Rows: []row{{Name: "kept"}}}
	assert.ErrorContains(t, ferrytoml.Decode("f.toml", []byte("Name = 3\nOn = 4\nShare = 0.5\n"), &f), "line 2: On")
	assert.Equal(t, f.Count, uint16(7))
	assert.Equal(t, len(f.Rows), 1)
}

func TestFaultsAreLimited(t *testing.T) {
	var f file
	err := ferrytoml.Decode("f.toml", []byte("Name = \"a\"\n"+strings.Repeat("[[Rows]]\nSlots = -1\n", 5000)), &f)
	assert.Equal(t, strings.Count(err.Error(), "\n"), 99)
}

// hostileFiles returns small files that would take much memory or time without limits.
func hostileFiles() map[string]string {
	keys := strings.Builder{}
	for i := range 20000 {
		fmt.Fprintf(&keys, "k%d = 1\n", i)
	}
	return map[string]string{
		"deep arrays":        "Tags = " + strings.Repeat("[", 700000),
		"deep tables":        "Table = " + strings.Repeat("{a=", 200000),
		"deep keys":          strings.Repeat("a.", 300000) + "b = 1",
		"deep header":        "[" + strings.Repeat("a.", 100000) + "b]\nc = 1\nd = 1\ne = 1\n",
		"long key":           "[Table." + strings.Repeat("x", 300000) + "]\n" + keys.String(),
		"many keys":          keys.String(),
		"long array":         "Tags = [" + strings.Repeat("1,", 400000) + "]",
		"many rows":          strings.Repeat("[[Rows]]\n", 100000),
		"many wrong values":  strings.Repeat("[[Rows]]\nSlots = \"a\"\n", 30000),
		"many inline tables": "Rows = [" + strings.Repeat("{Slots=-1},", 60000) + "]",
		"more than a MiB":    strings.Repeat("#", 2<<20),
		"blank lines":        strings.Repeat("\n", 1<<20),
	}
}

func TestHostileFilesTakeBoundedMemory(t *testing.T) {
	const maxAlloc = 1 << 30
	for name, data := range hostileFiles() {
		t.Run(name, func(t *testing.T) {
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			var f file
			err := ferrytoml.Decode("f.toml", []byte(data), &f)
			runtime.ReadMemStats(&after)
			assert.Assert(t, err != nil)
			assert.Assert(t, len(err.Error()) < 100000)
			assert.Assert(t, after.TotalAlloc-before.TotalAlloc < maxAlloc, "%d MiB", (after.TotalAlloc-before.TotalAlloc)>>20)
		})
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte("Name = \"a\"\n[[Rows]]\nSlots = 1\n[Table]\nWait = \"1s\"\n"))
	f.Add([]byte("Rows = [{Name = 'a'}, {Slots = nan}]\na.b.c = [[1], {x = 2}]"))
	f.Fuzz(func(t *testing.T, b []byte) {
		var v file
		err := ferrytoml.Decode("f.toml", b, &v)
		if err == nil && (v.Name == "" || math.IsNaN(v.Share)) {
			t.Fatal("invalid file accepted")
		}
	})
}
