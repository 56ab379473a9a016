package ferryingress

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	// writeTimeout is the timeout of one write to a caller that does not read; callers time out much earlier.
	writeTimeout = 10 * time.Second
	// cutWriteTimeout applies once the context of the server has ended.
	cutWriteTimeout = 50 * time.Millisecond
)

// errAnswered is returned for a second answer to the same call.
var errAnswered = errors.New("call already has an answer")

// writer writes the answer of one call.
type writer struct {
	conn net.Conn
	// stopping is set once the connection is to be closed after its present answer.
	stopping   *atomic.Bool
	buf        bytes.Buffer
	headOnly   bool
	minor      int
	closeAfter bool
	started    bool
	chunked    bool
	ended      bool
	err        error
	// cutOff is set once the context of the server has ended.
	cutOff atomic.Bool
}

func (w *writer) reset(h head) {
	w.headOnly, w.minor, w.closeAfter = h.method == http.MethodHead, h.minor, h.close
	w.started, w.chunked, w.ended, w.err = false, false, false, nil
	w.buf.Reset()
}

// writeHead writes the head of the answer to the buffer.
func (w *writer) writeHead(status int, h http.Header) error {
	if w.started {
		return errAnswered
	}
	w.started = true
	w.closeAfter = w.closeAfter || w.stopping.Load()
	fmt.Fprintf(&w.buf, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = h.WriteSubset(&w.buf, writerHeaders)
	if w.closeAfter {
		w.buf.WriteString("Connection: close\r\n")
	} else if w.minor == 0 {
		w.buf.WriteString("Connection: keep-alive\r\n")
	}
	return nil
}

// writerHeaders lists the headers that the writer sets itself or drops.
var writerHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Transfer-Encoding": true, "Content-Length": true, "Trailer": true,
	"Upgrade": true, "Proxy-Connection": true, "Te": true,
}

func (w *writer) answer(status int, h http.Header, body []byte) error {
	if err := w.writeHead(status, h); err != nil {
		return err
	}
	if bodyAllowed(status) {
		w.buf.WriteString("Content-Length: ")
		w.buf.WriteString(strconv.Itoa(len(body)))
		w.buf.WriteString("\r\n")
	}
	w.buf.WriteString("\r\n")
	if !w.headOnly && bodyAllowed(status) {
		w.write(body)
	}
	w.ended = true
	return w.flush()
}

func bodyAllowed(status int) bool {
	return status/100 != 1 && status != http.StatusNoContent && status != http.StatusNotModified
}

// stream starts a streamed answer: chunked for HTTP/1.1, delimited by the end of the connection for HTTP/1.0.
func (w *writer) stream(status int, h http.Header) (*Stream, error) {
	w.chunked = w.minor > 0
	w.closeAfter = w.closeAfter || !w.chunked
	if err := w.writeHead(status, h); err != nil {
		return nil, err
	}
	if w.chunked {
		w.buf.WriteString("Transfer-Encoding: chunked\r\n")
	}
	w.buf.WriteString("\r\n")
	return &Stream{w}, nil
}

// writePiece writes a piece of the body, together with the head if that is still buffered.
func (w *writer) writePiece(p []byte) error {
	if len(p) == 0 || w.headOnly {
		return w.flush()
	}
	if w.chunked {
		w.buf.WriteString(strconv.FormatInt(int64(len(p)), 16))
		w.buf.WriteString("\r\n")
		w.write(p)
		w.buf.WriteString("\r\n")
		return w.flush()
	}
	w.write(p)
	return w.flush()
}

// maxCopiedBytes is the size up to which a piece is copied to be written in one go with what surrounds it, and above
// which the buffer is not kept.
const maxCopiedBytes = 8 << 10

// write adds a piece to the buffer, or writes it at once if it is large, so that it is not held twice.
func (w *writer) write(p []byte) {
	if len(p) <= maxCopiedBytes {
		w.buf.Write(p)
		return
	}
	if w.flush() == nil {
		w.send(p)
	}
}

func (w *writer) send(p []byte) {
	_ = w.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if w.cutOff.Load() {
		w.cut()
	}
	_, w.err = w.conn.Write(p)
}

func (w *writer) end() error {
	if w.chunked && !w.headOnly {
		w.buf.WriteString("0\r\n\r\n")
	}
	w.ended = true
	return w.flush()
}

func (w *writer) flush() error {
	if w.err != nil {
		return w.err
	}
	if w.buf.Len() == 0 {
		return nil
	}
	w.send(w.buf.Bytes())
	w.buf.Reset()
	if w.buf.Cap() > 2*maxCopiedBytes {
		w.buf = bytes.Buffer{}
	}
	return w.err
}

// cut limits the present write and later ones to cutWriteTimeout each. It may be called at any time.
func (w *writer) cut() {
	w.cutOff.Store(true)
	_ = w.conn.SetWriteDeadline(time.Now().Add(cutWriteTimeout))
}

// resetIncomplete makes closing the connection a TCP reset if the answer is not chunked, since a regular
// close could be taken for the end of the body.
func (w *writer) resetIncomplete() {
	if tc, ok := w.conn.(*net.TCPConn); ok && !w.chunked {
		_ = tc.SetLinger(0)
	}
}

var _ io.Writer = (*Stream)(nil)
