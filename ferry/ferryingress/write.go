package ferryingress

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// writeTimeout bounds one write to a caller that does not read; callers give up long before.
const writeTimeout = 10 * time.Second

// errAnswered says that the call has an answer already.
var errAnswered = errors.New("the call is answered already")

// writer writes the answer of one call.
type writer struct {
	conn    net.Conn
	buf     bytes.Buffer
	head    bool
	minor   int
	last    bool
	begun   bool
	chunked bool
	ended   bool
	err     error
}

func (w *writer) reset(h head) {
	w.head, w.minor, w.last = h.method == http.MethodHead, h.minor, h.close
	w.begun, w.chunked, w.ended, w.err = false, false, false, nil
	w.buf.Reset()
}

// begin writes the head of the answer into the buffer.
func (w *writer) begin(status int, h http.Header) error {
	if w.begun {
		return errAnswered
	}
	w.begun = true
	fmt.Fprintf(&w.buf, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = h.WriteSubset(&w.buf, framing)
	if w.last {
		w.buf.WriteString("Connection: close\r\n")
	} else if w.minor == 0 {
		w.buf.WriteString("Connection: keep-alive\r\n")
	}
	return nil
}

// framing lists the headers that the writer sets itself.
var framing = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Transfer-Encoding": true, "Content-Length": true, "Trailer": true,
	"Upgrade": true, "Proxy-Connection": true, "Te": true,
}

func (w *writer) answer(status int, h http.Header, body []byte) error {
	if err := w.begin(status, h); err != nil {
		return err
	}
	if bodyAllowed(status) {
		w.buf.WriteString("Content-Length: ")
		w.buf.WriteString(strconv.Itoa(len(body)))
		w.buf.WriteString("\r\n")
	}
	w.buf.WriteString("\r\n")
	if !w.head && bodyAllowed(status) {
		w.buf.Write(body)
	}
	w.ended = true
	return w.flush()
}

func bodyAllowed(status int) bool {
	return status/100 != 1 && status != http.StatusNoContent && status != http.StatusNotModified
}

// stream begins an answer in pieces; HTTP/1.0 callers read it to the connection's end.
func (w *writer) stream(status int, h http.Header) (*Stream, error) {
	w.chunked = w.minor > 0
	w.last = w.last || !w.chunked
	if err := w.begin(status, h); err != nil {
		return nil, err
	}
	if w.chunked {
		w.buf.WriteString("Transfer-Encoding: chunked\r\n")
	}
	w.buf.WriteString("\r\n")
	return &Stream{w}, nil
}

// piece writes the head, if it is still waiting, and a piece of the body in one go.
func (w *writer) piece(p []byte) error {
	if len(p) == 0 || w.head {
		return w.flush()
	}
	if w.chunked {
		w.buf.WriteString(strconv.FormatInt(int64(len(p)), 16))
		w.buf.WriteString("\r\n")
		w.buf.Write(p)
		w.buf.WriteString("\r\n")
		return w.flush()
	}
	w.buf.Write(p)
	return w.flush()
}

func (w *writer) end() error {
	if w.chunked && !w.head {
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
	_ = w.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, w.err = w.conn.Write(w.buf.Bytes())
	w.buf.Reset()
	return w.err
}

// abandon makes sure that an answer without its end is not taken for a whole one.
func (w *writer) abandon() {
	if tc, ok := w.conn.(*net.TCPConn); ok && !w.chunked {
		_ = tc.SetLinger(0)
	}
}

var _ io.Writer = (*Stream)(nil)
