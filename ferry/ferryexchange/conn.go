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

// conn is a connection to an upstream; it carries one exchange at a time.
type conn struct {
	net.Conn
	metered *meteredConn
	br      *bufio.Reader
	address string
	used    bool
	// expires is when an idle connection expires.
	expires time.Time
}

func newConn(c net.Conn, address string) *conn {
	m := &meteredConn{Conn: c}
	return &conn{Conn: c, metered: m, br: bufio.NewReaderSize(m, readBufferBytes), address: address}
}

// usable reports whether an idle connection is open and has received no bytes; unsolicited bytes make it
// unusable.
func (c *conn) usable() bool {
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
	quiet := false
	err = rc.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// keepAliveTimeout returns the timeout of the Keep-Alive header, or the default if there is none.
func keepAliveTimeout(h http.Header, fallback time.Duration) time.Duration {
	for _, v := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(v), "=")
		if n, err := strconv.Atoi(value); strings.EqualFold(name, "timeout") && err == nil && n >= 0 {
			return time.Duration(n) * time.Second
		}
	}
	return fallback
}

// unexpectedEOF converts io.EOF to io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
