package ferryengine

import (
	"bufio"
	"errors"
	"io"
)

const readBufferBytes = 1 << 10

// LineReader reads lines of limited length; an empty line is a heartbeat.
type LineReader struct {
	r   *bufio.Reader
	max int
	buf []byte
}

// NewLineReader returns a reader for lines of up to maxBytes bytes, line end included.
func NewLineReader(r io.Reader, maxBytes int) *LineReader {
	return &LineReader{r: bufio.NewReaderSize(r, readBufferBytes), max: maxBytes}
}

// Next returns the next line without its line end; the slice is valid until the next call. The error is a
// *LineTooLongError for a line that is too long.
func (l *LineReader) Next() ([]byte, error) {
	part, err := l.r.ReadSlice('\n')
	if err == nil && len(part) <= l.max {
		return part[:len(part)-1], nil
	}
	l.buf = append(l.buf[:0], part...)
	for errors.Is(err, bufio.ErrBufferFull) && len(l.buf) <= l.max {
		part, err = l.r.ReadSlice('\n')
		l.buf = append(l.buf, part...)
	}
	switch {
	case len(l.buf) > l.max:
		return nil, &LineTooLongError{Max: l.max}
	case err == nil:
		return l.buf[:len(l.buf)-1], nil
	case errors.Is(err, io.EOF) && len(l.buf) > 0:
		return nil, io.ErrUnexpectedEOF
	}
	return nil, err
}

// Buffered returns the number of bytes that can be read without blocking.
func (l *LineReader) Buffered() int {
	return l.r.Buffered()
}

// NewRequestReader returns a line reader with the maximum length for requests between stages.
func NewRequestReader(r io.Reader) *LineReader {
	return NewLineReader(r, maxRequestBytes)
}

// NewItemReader returns a line reader with the maximum length for items.
func NewItemReader(r io.Reader) *LineReader {
	return NewLineReader(r, maxItemLineBytes)
}
