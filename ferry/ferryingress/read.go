package ferryingress

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
	"net/textproto"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"

	"cactusferry.dev/ferry/ferrymemory"
)

// head is the validated request line and headers of a request.
type head struct {
	method, target, host string
	header               http.Header
	minor                int
	length               int64
	chunked              bool
	close                bool
	expectsContinue      bool
}

// limitedReader reads from a connection up to a limit. It counts the bytes and keeps the last error, which
// the parsers would otherwise take for the end of a line.
type limitedReader struct {
	r         io.Reader
	remaining int64
	total     int64
	err       error
}

// errReadLimit is returned by a limitedReader that has reached its limit.
var errReadLimit = errors.New("read limit exceeded")

func (b *limitedReader) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		b.err = errReadLimit
		return 0, errReadLimit
	}
	if int64(len(p)) > b.remaining {
		p = p[:b.remaining]
	}
	n, err := b.r.Read(p)
	b.remaining -= int64(n)
	b.total += int64(n)
	b.err = err
	return n, err
}

// readHead reads and validates a request's head, whose first byte must have been received.
func readHead(br *bufio.Reader) (head, error) {
	tr := textproto.NewReader(br)
	line, err := tr.ReadLine()
	if line == "" && err == nil {
		line, err = tr.ReadLine() // ignore one empty line before the request (RFC 9112, 2.2)
	}
	if err != nil {
		return head{}, headError(err)
	}
	h, err := parseRequestLine(line)
	if err != nil {
		return head{}, err
	}
	fields, err := tr.ReadMIMEHeader()
	if err != nil {
		return head{}, headError(err)
	}
	h.header = http.Header(fields)
	return h, h.validate()
}

// errHeaderTooLong refuses a request whose head exceeds the limit.
var errHeaderTooLong = &RequestError{Status: http.StatusRequestHeaderFieldsTooLarge, Detail: "the header is too long"}

func headError(err error) error {
	var bad textproto.ProtocolError
	switch {
	case errors.Is(err, errReadLimit):
		return errHeaderTooLong
	case errors.As(err, &bad):
		return malformed("%s", bad.Error())
	}
	return err
}

func parseRequestLine(line string) (head, error) {
	method, rest, ok := strings.Cut(line, " ")
	target, proto, ok2 := strings.Cut(rest, " ")
	if !ok || !ok2 || !httpguts.ValidHeaderFieldName(method) {
		return head{}, malformed("malformed request line")
	}
	major, minor, ok := http.ParseHTTPVersion(proto)
	if !ok {
		return head{}, malformed("malformed protocol version")
	}
	if major != 1 {
		return head{}, &RequestError{Status: http.StatusHTTPVersionNotSupported, Detail: "only HTTP/1 is spoken here"}
	}
	if !strings.HasPrefix(target, "/") || strings.ContainsAny(target, "\t\r\n #") {
		return head{}, malformed("the request target must be a path")
	}
	return head{method: method, target: target, minor: minor}, nil
}

// validate validates the headers and evaluates those that concern the connection.
func (h *head) validate() error {
	for k, vs := range h.header {
		if !httpguts.ValidHeaderFieldName(k) {
			return malformed("malformed header name")
		}
		for _, v := range vs {
			if !httpguts.ValidHeaderFieldValue(v) {
				return malformed("malformed value of header %s", k)
			}
		}
	}
	hosts := h.header["Host"]
	if len(hosts) > 1 || (len(hosts) == 0 && h.minor > 0) {
		return malformed("a request needs one Host header")
	}
	h.host = h.header.Get("Host")
	delete(h.header, "Host")
	tokens := h.header["Connection"]
	h.close = httpguts.HeaderValuesContainsToken(tokens, "close") || (h.minor == 0 && !httpguts.HeaderValuesContainsToken(tokens, "keep-alive"))
	h.expectsContinue = strings.EqualFold(h.header.Get("Expect"), "100-continue")
	delete(h.header, "Expect")
	return h.parseFraming()
}

// parseFraming determines the length of the body. Ambiguous framing is refused, since the next hop could read
// it differently (request smuggling).
func (h *head) parseFraming() error {
	coding, lengths := h.header["Transfer-Encoding"], h.header["Content-Length"]
	if len(coding) > 0 {
		if len(lengths) > 0 {
			return malformed("a request must not have both Transfer-Encoding and Content-Length")
		}
		if len(coding) != 1 || !strings.EqualFold(strings.TrimSpace(coding[0]), "chunked") || h.minor == 0 {
			return &RequestError{Status: http.StatusNotImplemented, Detail: "only the chunked transfer coding is supported"}
		}
		h.chunked = true
		delete(h.header, "Transfer-Encoding")
		return nil
	}
	for _, v := range lengths {
		if v != lengths[0] {
			return malformed("Content-Length stands twice with different values")
		}
	}
	if len(lengths) == 0 {
		return nil
	}
	n, err := strconv.ParseUint(lengths[0], 10, 62)
	if err != nil {
		return malformed("malformed Content-Length")
	}
	h.length = int64(n)
	delete(h.header, "Content-Length")
	return nil
}

// errNoMemory refuses a request whose body finds no room beside those of others.
var errNoMemory = &RequestError{Status: http.StatusServiceUnavailable, Detail: "no room for the body beside those of other requests"}

// errBodyTooLong refuses a request whose body exceeds the limit.
var errBodyTooLong = &RequestError{Status: http.StatusRequestEntityTooLarge, Detail: "the body is too long"}

// readBody reads a body of the given length.
func readBody(br *bufio.Reader, length, limit int64, hold *ferrymemory.Hold) ([]byte, error) {
	if length > limit {
		return nil, errBodyTooLong
	}
	body, whole, err := hold.Read(io.LimitReader(br, length), int(length))
	switch {
	case err != nil:
		return nil, err
	case int64(len(body)) < length && whole:
		return nil, io.ErrUnexpectedEOF
	case int64(len(body)) < length:
		return nil, errNoMemory
	}
	return body, nil
}

// readChunked reads the complete data of a chunked body, without its trailer.
func readChunked(br *bufio.Reader, limit int64, hold *ferrymemory.Hold) ([]byte, error) {
	body, whole, err := hold.Read(httputil.NewChunkedReader(br), int(limit)+1)
	switch {
	case err != nil && (errors.Is(err, httputil.ErrLineTooLong) || strings.Contains(err.Error(), "chunk")):
		return nil, malformed("malformed chunk")
	case err != nil:
		return nil, err
	case int64(len(body)) > limit:
		return nil, errBodyTooLong
	case !whole:
		return nil, errNoMemory
	}
	return body, nil
}

// skipTrailer reads the trailer of a chunked body.
func skipTrailer(br *bufio.Reader) error {
	if _, err := textproto.NewReader(br).ReadMIMEHeader(); err != nil {
		return headError(err)
	}
	return nil
}
