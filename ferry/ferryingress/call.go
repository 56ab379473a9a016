package ferryingress

import (
	"net/http"
	"strings"
	"time"
)

// Call is one complete request of a caller.
type Call struct {
	Method string
	// Target is the request target as sent by the caller.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// At is the time at which the first byte of the request was read.
	At time.Time
	// Remote is the caller's address.
	Remote string

	w *writer
}

// Path returns the target without its query.
func (c *Call) Path() string {
	path, _, _ := strings.Cut(c.Target, "?")
	return path
}

// Answer writes a complete answer; it fails if the call already has one.
func (c *Call) Answer(status int, h http.Header, body []byte) error {
	return c.w.answer(status, h, body)
}

// Stream starts a streamed answer; it fails if the call already has an answer.
func (c *Call) Stream(status int, h http.Header) (*Stream, error) {
	return c.w.stream(status, h)
}

// CloseAfter closes the connection after the answer, which gets Connection: close if it has not started.
func (c *Call) CloseAfter() {
	c.w.closeAfter = true
}

// Answered reports whether an answer has been started.
func (c *Call) Answered() bool {
	return c.w.started
}

// Complete reports whether a complete answer has been written to the connection.
func (c *Call) Complete() bool {
	return c.w.ended && c.w.err == nil
}

// WriteError returns the error of the write that ended the answer, or nil.
func (c *Call) WriteError() error {
	return c.w.err
}

// Stream is a streamed answer; callers recognise it as incomplete unless End is called.
type Stream struct{ w *writer }

// Write writes a piece of the body without buffering.
func (s *Stream) Write(p []byte) (int, error) {
	return len(p), s.w.writePiece(p)
}

// End completes the answer.
func (s *Stream) End() error {
	return s.w.end()
}
