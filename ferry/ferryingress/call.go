package ferryingress

import (
	"net/http"
	"strings"
	"time"
)

// Call is one request of a caller, read whole.
type Call struct {
	Method string
	// Target is the request target exactly as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// At is when the first byte of the request was read.
	At time.Time
	// Remote is the caller's address.
	Remote string

	w *writer
}

// Path is the target without its query.
func (c *Call) Path() string {
	path, _, _ := strings.Cut(c.Target, "?")
	return path
}

// Answer writes a whole answer; only the first answer of a call is written.
func (c *Call) Answer(status int, h http.Header, body []byte) error {
	return c.w.answer(status, h, body)
}

// Stream starts an answer that is written in pieces.
func (c *Call) Stream(status int, h http.Header) (*Stream, error) {
	return c.w.stream(status, h)
}

// CloseAfter closes the connection once the call is answered, and says so in the answer if that has not begun.
func (c *Call) CloseAfter() {
	c.w.last = true
}

// Answered reports whether an answer has begun.
func (c *Call) Answered() bool {
	return c.w.begun
}

// Stream is an answer under way; without End it is recognisably incomplete.
type Stream struct{ w *writer }

// Write passes a piece on at once.
func (s *Stream) Write(p []byte) (int, error) {
	return len(p), s.w.piece(p)
}

// End completes the answer.
func (s *Stream) End() error {
	return s.w.end()
}
