package ferryexchange

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const readBufferBytes = 4 << 10 // holds the header of an answer and a few events

// conn is one connection to an upstream; one exchange uses it at a time.
type conn struct {
	net.Conn
	br      *bufio.Reader
	address string
	used    bool
	// until is when an idle connection is no longer to be used.
	until time.Time
}

func newConn(c net.Conn, address string) *conn {
	return &conn{Conn: c, br: bufio.NewReaderSize(c, readBufferBytes), address: address}
}

// alive reports whether an idle connection is open and silent; bytes that nobody asked for make it unusable.
func (c *conn) alive() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = rc.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && silent
}

// idleFor is how long the other end keeps an idle connection by its answer's headers, or the default.
func idleFor(h http.Header, usual time.Duration) time.Duration {
	for _, v := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(v), "=")
		if n, err := strconv.Atoi(value); strings.EqualFold(name, "timeout") && err == nil && n >= 0 {
			return time.Duration(n) * time.Second
		}
	}
	return usual
}

// unexpected turns an end of the connection into an error that says that more was due.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
