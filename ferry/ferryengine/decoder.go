package ferryengine

import (
	"bytes"
	"encoding/json"

	"cactusferry.dev/ferry/ferryid"
)

const (
	beforeEpoch    = `{"Epoch":`
	beforePosition = `,"Position":`
	beforeText     = `,"Text":"`
	beforeReceipts = `","Receipts":`
	maxDigits      = 9
)

// ItemDecoder decodes the items of one stream, whose tokens nearly always carry the receipts of the token before.
type ItemDecoder struct {
	raw      []byte
	receipts []Receipt
}

// Decode reads one line as DecodeItem does; items with equal receipts share them, so they must not be changed.
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

// scanToken reads a token written as AppendItem writes it, with its receipts left raw; anything else is not ok and left to the library.
func scanToken(line []byte) (it Item, raw []byte, ok bool) {
	rest, ok := bytes.CutPrefix(line, []byte(beforeEpoch))
	if !ok {
		return it, nil, false
	}
	epoch, rest, ok := scanNumber(rest)
	if !ok {
		return it, nil, false
	}
	if rest, ok = bytes.CutPrefix(rest, []byte(beforePosition)); !ok {
		return it, nil, false
	}
	position, rest, ok := scanNumber(rest)
	if !ok {
		return it, nil, false
	}
	if rest, ok = bytes.CutPrefix(rest, []byte(beforeText)); !ok {
		return it, nil, false
	}
	n := plainLen(rest)
	text := rest[:n]
	if rest, ok = bytes.CutPrefix(rest[n:], []byte(beforeReceipts)); !ok {
		return it, nil, false
	}
	raw, ok = bytes.CutSuffix(rest, []byte{'}'})
	it = Item{Epoch: ferryid.Epoch(epoch), Position: ferryid.Position(position), Text: string(text)}
	return it, raw, ok
}

// scanNumber reads a number without a sign, a leading zero or more digits than certainly fit.
func scanNumber(b []byte) (n uint32, rest []byte, ok bool) {
	i := 0
	for i < len(b) && i < maxDigits && '0' <= b[i] && b[i] <= '9' {
		n = n*10 + uint32(b[i]-'0')
		i++
	}
	return n, b[i:], i > 0 && (i == 1 || b[0] != '0')
}

// plainLen is the length of the part that stands for itself in a JSON string.
func plainLen(b []byte) int {
	for i, c := range b {
		if c < ' ' || c > '~' || c == '"' || c == '\\' {
			return i
		}
	}
	return len(b)
}
