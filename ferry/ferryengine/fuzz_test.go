package ferryengine_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"testing"

	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryengine"
)

const fuzzItem = `{"Epoch":1,"Position":2,"Text":" word","Receipts":[{"Stage":"a:1","Layers":{"From":0,"To":4}},{"Stage":"b:1","Layers":{"From":4,"To":8}}]}`

func FuzzDecodeItem(f *testing.F) {
	for _, s := range []string{
		fuzzItem, `{"Epoch":1,"Ready":true}`, `{"Epoch":1,"Done":true,"Reason":"length","Tokens":3}`,
		`{"Epoch":1,"Failed":{"Stage":"a:1","Kind":"Died","Detail":"x"}}`, `{"Epoch":1,"Text":"\u043c\ud800"}`, `{}`, ``,
		`{"Epoch":1,"Position":4294967296}`, `{"Epoch":01,"Text":"a"}`, ` {"Epoch" : 1 }`,
	} {
		f.Add([]byte(s))
	}
	f.Add([]byte(`{"Epoch":1,"Position":2,"Text":" w","Receipts":[{"Stage":"a:1","Layers":{"From":0,"To":4}}],"Text":"b"}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		it, err := ferryengine.DecodeItem(b)
		var d ferryengine.ItemDecoder
		_, _ = d.Decode([]byte(fuzzItem))
		// The second decoding uses the cached receipts of the first.
		for range 2 {
			cached, cachedErr := d.Decode(b)
			assert.Equal(t, err == nil, cachedErr == nil)
			assert.DeepEqual(t, cached, it)
		}
		if err != nil {
			return
		}
		// An accepted item equals what package json decodes, and survives a round trip.
		var want ferryengine.Item
		assert.NilError(t, json.Unmarshal(b, &want))
		assert.DeepEqual(t, it, want)
		line := ferryengine.AppendItem(nil, &it)
		again, err := ferryengine.DecodeItem(bytes.TrimSuffix(line, []byte{'\n'}))
		assert.NilError(t, err, string(line))
		assert.Equal(t, again.Position, it.Position)
		assert.Equal(t, len(again.Receipts), len(it.Receipts))
	})
}

func FuzzDecodeRunRequest(f *testing.F) {
	f.Add([]byte(`{"Stream":"s","Epoch":1,"Stages":[{"Address":"a:1","Layers":{"From":0,"To":4}}],"Prompt":"p","Generated":[" w"],"MaxTokens":3,"Seed":18446744073709551615,"Priority":-1,"Import":true}`))
	f.Add([]byte(`{"Stages":[{},{}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := ferryengine.DecodeRunRequest(b)
		if err == nil && (len(r.Stages) == 0 || len(r.Generated) > r.MaxTokens) {
			t.Fatalf("invalid request accepted: %+v", r)
		}
	})
}

func FuzzLineReader(f *testing.F) {
	f.Add([]byte("a\n\nlonger than the bound of the line\nlast"))
	f.Fuzz(func(t *testing.T, b []byte) {
		const bound = 16
		r := ferryengine.NewLineReader(bytes.NewReader(b), bound)
		var read []byte
		for range len(b) + 1 {
			line, err := r.Next()
			if err != nil {
				var long *ferryengine.LineTooLongError
				assert.Assert(t, errors.As(err, &long) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF))
				break
			}
			assert.Assert(t, len(line) < bound)
			read = append(append(read, line...), '\n')
		}
		assert.Assert(t, bytes.HasPrefix(b, read))
	})
}

func TestItemCheck(t *testing.T) {
	for _, tt := range []struct {
		line string
		ok   bool
	}{
		{fuzzItem, true},
		{`{"Epoch":1,"Ready":true}`, true},
		{`{"Epoch":0,"Ready":true}`, false},
		{`{"Epoch":1,"Ready":true,"Done":true}`, false},
		{`{"Epoch":1,"Text":"a"}`, false},
		{`{"Epoch":1,"Done":true,"Text":"a"}`, false},
		{`{"Epoch":1,"Failed":{"Kind":"Lost"}}`, false},
		{`{"Epoch":1,"Failed":{"Kind":"Died"},"Done":true}`, false},
		{`{"Epoch":-1,"Ready":true}`, false},
		{`{"Epoch":1,"Ready":true`, false},
		{`null`, false},
	} {
		_, err := ferryengine.DecodeItem([]byte(tt.line))
		assert.Equal(t, err == nil, tt.ok, "%s: %v", tt.line, err)
	}
}

func BenchmarkDecodeItem(b *testing.B) {
	line := []byte(fuzzItem)
	b.ReportAllocs()
	var d ferryengine.ItemDecoder
	for b.Loop() {
		if _, err := d.Decode(line); err != nil {
			b.Fatal(err)
		}
	}
}
