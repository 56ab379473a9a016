package ferrymemory

import (
	"errors"
	"io"
)

const initialBytes = 512

// Grow returns a copy of a buffer with about twice its capacity, at most a limit, or false if it is at the limit or the
// budget has no more.
func (h *Hold) Grow(b []byte, limit int) ([]byte, bool) {
	from := cap(b)
	to := min(max(2*from, initialBytes), limit)
	if to <= from || !h.Take(Bytes(to)-max(Bytes(from), FreeBytes)) {
		return b, false
	}
	grown := make([]byte, len(b), to)
	copy(grown, b)
	return grown, true
}

// Read reads to the end of a message or until the buffer cannot grow; whole tells which. An error other than that of the
// reader does not occur.
func (h *Hold) Read(r io.Reader, limit int) (b []byte, whole bool, err error) {
	for {
		if len(b) == cap(b) {
			var ok bool
			if b, ok = h.Grow(b, limit); !ok {
				return b, false, nil
			}
		}
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		switch {
		case errors.Is(err, io.EOF):
			return b, true, nil
		case err != nil:
			return b, false, err
		}
	}
}
