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
)

// head is the first line and the headers of a request, checked.
type head struct {
	method, target, host string
	header               http.Header
	minor                int
	length               int64
	chunked              bool
	close                bool
	expects              bool
}

// bounded reads from a connection until its allowance is used up; it counts what it read and keeps the error that ended it, which
// the parsers above take for the end of a line.
type bounded struct {
	r    io.Reader
	left int64
	read int64
	err  error
}

// errTooLong says that a bounded reader's allowance is used up.
var errTooLong = errors.New("allowance used up")

func (b *bounded) Read(p []byte) (int, error) {
	if b.left <= 0 {
		b.err = errTooLong
		return 0, errTooLong
	}
	if int64(len(p)) > b.left {
		p = p[:b.left]
	}
	n, err := b.r.Read(p)
	b.left -= int64(n)
	b.read += int64(n)
	b.err = err
	return n, err
}

// readHead reads a request's head; the first byte must have come already.
func readHead(br *bufio.Reader) (head, error) {
	tr := textproto.NewReader(br)
	line, err := tr.ReadLine()
	if line == "" && err == nil {
		line, err = tr.ReadLine() // an empty line before a request is to be ignored (RFC 9112, 2.2)
	}
	if err != nil {
		return head{}, headFault(err)
	}
	h, err := parseLine(line)
	if err != nil {
		return head{}, err
	}
	fields, err := tr.ReadMIMEHeader()
	if err != nil {
		return head{}, headFault(err)
	}
	h.header = http.Header(fields)
	return h, h.check()
}

// errHeaderTooLong refuses a request whose header is longer than the limit.
var errHeaderTooLong = &RequestError{Status: http.StatusRequestHeaderFieldsTooLarge, Detail: "the header is too long"}

func headFault(err error) error {
	var bad textproto.ProtocolError
	switch {
	case errors.Is(err, errTooLong):
		return errHeaderTooLong
	case errors.As(err, &bad):
		return malformed("%s", bad.Error())
	}
	return err
}

func parseLine(line string) (head, error) {
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

// check reads the headers that frame the request.
func (h *head) check() error {
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
	h.expects = strings.EqualFold(h.header.Get("Expect"), "100-continue")
	delete(h.header, "Expect")
	return h.frame()
}

// frame finds where the body ends; a request that says it in two ways could be read differently by the next hop.
func (h *head) frame() error {
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

// readBody reads the whole body.
func readBody(br *bufio.Reader, h head, most int64) ([]byte, error) {
	tooLarge := &RequestError{Status: http.StatusRequestEntityTooLarge, Detail: "the body is too long"}
	if !h.chunked {
		if h.length > most {
			return nil, tooLarge
		}
		body := make([]byte, h.length)
		_, err := io.ReadFull(br, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(httputil.NewChunkedReader(br), most+1))
	switch {
	case err != nil && (errors.Is(err, httputil.ErrLineTooLong) || strings.Contains(err.Error(), "chunk")):
		return nil, malformed("malformed chunk")
	case err != nil:
		return nil, err
	case int64(len(body)) > most:
		return nil, tooLarge
	}
	if _, err := textproto.NewReader(br).ReadMIMEHeader(); err != nil {
		return nil, headFault(err)
	}
	return body, nil
}
