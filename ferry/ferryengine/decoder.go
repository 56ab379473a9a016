package ferryengine

import (
	"bytes"
	"encoding/json"

	"cactusferry.dev/ferry/ferryid"
)

const (
	epochPrefix    = `{"Epoch":`
	positionPrefix = `,"Position":`
	textPrefix     = `,"Text":"`
	receiptsPrefix = `","Receipts":`
	maxDigits      = 9
)

// ItemDecoder decodes the items of one stream. It caches the receipts, which are nearly always equal to those
// of the token before.
type ItemDecoder struct {
	raw      []byte
	receipts []Receipt
}

// Decode is like DecodeItem. Items with equal receipts share one slice of receipts, which must
// not be modified.
func (d *ItemDecoder) Decode(line []byte) (Item, error) {
	it, raw, ok := scanToken(line)
	if !ok {
		return DecodeItem(line)
	}
	if !bytes.Equal(raw, d.raw) {
		var receipts []Receipt
		if json.Unmarshal(raw, &receipts) != nil {
			return DecodeItem(line)
		}
		d.raw = append(d.raw[:0], raw...)
		d.receipts = receipts
	}
	it.Receipts = d.receipts
	if err := it.Check(); err != nil {
		return Item{}, err
	}
	return it, nil
}

// scanToken parses a token in the exact form that AppendItem writes, and returns its receipts undecoded. It
// returns false for any other line, which is left to package json.
func scanToken(line []byte) (it Item, raw []byte, ok bool) {
	rest, ok := bytes.CutPrefix(line, []byte(epochPrefix))
	if !ok {
		return it, nil, false
	}
	epoch, rest, ok := scanNumber(rest)
	if !ok {
		return it, nil, false
	}
	if rest, ok = bytes.CutPrefix(rest, []byte(positionPrefix)); !ok {
		return it, nil, false
	}
	position, rest, ok := scanNumber(rest)
	if !ok {
		return it, nil, false
	}
	if rest, ok = bytes.CutPrefix(rest, []byte(textPrefix)); !ok {
		return it, nil, false
	}
	n := plainLen(rest)
	text := rest[:n]
	if rest, ok = bytes.CutPrefix(rest[n:], []byte(receiptsPrefix)); !ok {
		return it, nil, false
	}
	raw, ok = bytes.CutSuffix(rest, []byte{'}'})
	it = Item{Epoch: ferryid.Epoch(epoch), Position: ferryid.Position(position), Text: string(text)}
	return it, raw, ok
}

// scanNumber parses a number of up to maxDigits digits without a sign or leading zeros.
func scanNumber(b []byte) (n uint32, rest []byte, ok bool) {
	i := 0
	for i < len(b) && i < maxDigits && '0' <= b[i] && b[i] <= '9' {
		n = n*10 + uint32(b[i]-'0')
		i++
	}
	return n, b[i:], i > 0 && (i == 1 || b[0] != '0')
}

// plainLen returns the length of the prefix that a JSON string represents without escapes.
func plainLen(b []byte) int {
	for i, c := range b {
		if c < ' ' || c > '~' || c == '"' || c == '\\' {
			return i
		}
	}
	return len(b)
}
