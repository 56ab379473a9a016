package ferryexchange

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// hopByHopHeaders are the hop-by-hop headers, which are never forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Request is a request to an upstream.
type Request struct {
	Method string
	// Target is the request target as written in the request line.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// NewConn requests a new connection, since the upstream may be closing an idle one.
	NewConn bool
	// Echo is the name of a header that an answer copies from its request; answers with another value are
	// skipped, and so are those without it on a connection that carried another request before.
	Echo string
}

// owns reports whether an answer belongs to the request. On a reused connection, an answer that does not say to
// which request it belongs may be a late one to an earlier request.
func (r *Request) owns(answer http.Header, reused bool) bool {
	return !reused && answer.Get(r.Echo) == "" || r.identifies(answer)
}

// identifies reports whether an answer carries what the request asked it to copy.
func (r *Request) identifies(answer http.Header) bool {
	return r.Echo == "" || answer.Get(r.Echo) == r.Header.Get(r.Echo)
}

// appendHead writes the encoded request without its body to a buffer.
func (r *Request) appendHead(b *bytes.Buffer) {
	fmt.Fprintf(b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	_ = r.Header.WriteSubset(b, frameHeaders)
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
}

// frameHeaders are the headers that appendHead writes itself.
var frameHeaders = map[string]bool{"Host": true, "Content-Length": true}

// EndToEndHeaders returns a copy of the headers without the hop-by-hop ones.
func EndToEndHeaders(from http.Header) http.Header {
	to := make(http.Header, len(from)+4)
	for k, vs := range from {
		to[k] = vs
	}
	for _, v := range from["Connection"] {
		for _, name := range strings.Split(v, ",") {
			delete(to, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, k := range hopByHopHeaders {
		delete(to, k)
	}
	return to
}
