package ferrytoml

import (
	"bytes"
	"errors"
	"reflect"
	"regexp"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// maxAttempts bounds the decoding attempts for one file; each attempt finds one value of a wrong type.
const maxAttempts = 32

var wrongTypeRE = regexp.MustCompile(`^cannot decode TOML (\S+) into .* of type (\S+)$`)

// decodeStrict decodes repeatedly and blanks each value of a wrong type, so that one call finds all of them.
// It returns true if v holds all other values, so that v can be validated.
func (c *Check) decodeStrict(lines [][]byte, v any) bool {
	target := reflect.ValueOf(v).Elem()
	defaults := reflect.New(target.Type()).Elem()
	defaults.Set(target)
	for range maxAttempts {
		target.Set(defaults)
		err := toml.Unmarshal(bytes.Join(lines, []byte("\n")), v)
		if err == nil {
			return true
		}
		if !c.recordError(err, lines) {
			return false
		}
	}
	return false
}

// recordError records a decoding error and blanks the value at fault; it returns false if that
// is not possible.
func (c *Check) recordError(err error, lines [][]byte) bool {
	var decodeErr *toml.DecodeError
	if !errors.As(err, &decodeErr) {
		c.add(Fault{Line: 1, Text: err.Error()})
		return false
	}
	row, _ := decodeErr.Position()
	field := c.layout.field(row, decodeErr.Key())
	c.add(Fault{Line: row, Field: field, Text: c.plainMessage(decodeErr.Error(), field)})
	return len(decodeErr.Key()) > 0 && c.blank(row, lines)
}

// blank blanks the lines of the key-value pair that covers a line; it returns false if there is none.
func (c *Check) blank(row int, lines [][]byte) bool {
	from, to, ok := c.layout.value(row, len(lines))
	if !ok {
		return false
	}
	for i := from; i < to; i++ {
		lines[i-1] = nil
		c.blankedLines[i] = true
	}
	return true
}

// plainMessage returns a message of the library without the names of Go types.
func (c *Check) plainMessage(text, field string) string {
	text = strings.TrimPrefix(text, "toml: ")
	m := wrongTypeRE.FindStringSubmatch(text)
	if m == nil {
		return text
	}
	return "must be " + c.kindName(m[2], field) + ", is of TOML type " + m[1]
}

// kindName returns a description of a field's type for fault texts.
func (c *Check) kindName(goType, field string) string {
	t, ok := c.types.typeAt(c.root, field)
	if strings.HasPrefix(goType, "[]") || !ok || t == nil {
		return "an array"
	}
	switch kind := elementType(t).Kind(); kind {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number"
	case reflect.Struct, reflect.Map:
		return "a table"
	}
	return "a whole number"
}
