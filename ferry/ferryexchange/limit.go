package ferryexchange

import (
	"fmt"
	"net"
	"time"

	"cactusferry.dev/ferry/ferrymemory"
)

// Limits bounds what an upstream may send; a zero field stands for its default.
type Limits struct {
	// HeadBytes and HeadLines bound the status line and the headers of an answer, and HeadTimeout the time from
	// their first byte to their last; 64 KiB, 256 lines and 5 s by default.
	HeadBytes, HeadLines int
	HeadTimeout          time.Duration
	// InterimAnswers is the maximum number of 1xx answers before an answer, 16 by default.
	InterimAnswers int
}

func (l Limits) withDefaults() Limits {
	if l.HeadBytes == 0 {
		l.HeadBytes = 64 << 10
	}
	if l.HeadLines == 0 {
		l.HeadLines = 256
	}
	if l.HeadTimeout == 0 {
		l.HeadTimeout = 5 * time.Second
	}
	if l.InterimAnswers == 0 {
		l.InterimAnswers = 16
	}
	return l
}

// LimitError reports that an upstream's answer exceeded a limit.
type LimitError struct {
	// Part is what exceeded the limit.
	Part  string
	Limit string
}

func (e *LimitError) Error() string { return e.Part + " exceeds " + e.Limit }

// headMeter counts the bytes and lines of a head as they are read from the connection.
type headMeter struct {
	limits Limits
	hold   *ferrymemory.Hold
	// held is how many bytes of the head the hold covers.
	held         int
	reading      bool
	bytes, lines int
	// lineBytes counts the bytes of the present line without its line break.
	lineBytes int
}

// begin starts to count a head of which some bytes may have been read already.
func (m *headMeter) begin(l Limits, hold *ferrymemory.Hold) {
	*m = headMeter{limits: l, hold: hold, held: int(ferrymemory.FreeBytes), reading: true}
}

// parsedCopies is how often the bytes of a head are held while it is parsed.
const parsedCopies = 2

// end stops counting.
func (m *headMeter) end() { m.reading, m.hold = false, nil }

// count counts bytes until the blank line that ends the head.
func (m *headMeter) count(p []byte) error {
	for _, b := range p {
		if !m.reading {
			return nil
		}
		m.bytes++
		switch b {
		case '\r':
		case '\n':
			m.lines++
			m.reading = m.lineBytes > 0
			m.lineBytes = 0
		default:
			m.lineBytes++
		}
		switch {
		case m.bytes > m.held && !m.hold.Take(ferrymemory.Bytes(parsedCopies*m.held)):
			return &ferrymemory.ExhaustedError{Part: "head of the answer"}
		case m.bytes > m.held:
			m.held *= 2
		}
		switch {
		case m.bytes > m.limits.HeadBytes:
			return &LimitError{Part: "head of the answer", Limit: fmt.Sprintf("%d bytes", m.limits.HeadBytes)}
		case m.lines > m.limits.HeadLines:
			return &LimitError{Part: "head of the answer", Limit: fmt.Sprintf("%d lines", m.limits.HeadLines)}
		}
	}
	return nil
}

// meteredConn counts the heads of the answers that are read from a connection.
type meteredConn struct {
	net.Conn
	head headMeter
}

func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if limit := c.head.count(p[:n]); limit != nil {
		return 0, limit
	}
	return n, err
}
