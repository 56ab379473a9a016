package ferryengine

import (
	"bufio"
	"errors"
	"io"
)

const readBufferBytes = 1 << 10

// LineReader reads lines of a bounded length; an empty line is a heartbeat.
type LineReader struct {
	r   *bufio.Reader
	max int
	buf []byte
}

// NewLineReader returns a reader that refuses lines of more than max bytes.
func NewLineReader(r io.Reader, maxBytes int) *LineReader {
	return &LineReader{r: bufio.NewReaderSize(r, readBufferBytes), max: maxBytes}
}

// Next returns the next line without its end, valid until the following call, or a *LineTooLongError.
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

// Buffered is the number of bytes that the next line can use without waiting.
func (l *LineReader) Buffered() int {
	return l.r.Buffered()
}

// NewRequestReader returns a line reader with the bound for requests between stages.
func NewRequestReader(r io.Reader) *LineReader {
	return NewLineReader(r, maxRequestBytes)
}

// NewItemReader returns a line reader with the bound for items.
func NewItemReader(r io.Reader) *LineReader {
	return NewLineReader(r, maxItemLineBytes)
}
