package ferryexchange

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// connectionHeaders concern one connection only and are never passed on.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Request is one request as it goes to an upstream.
type Request struct {
	Method string
	// Target is the request target exactly as it goes on the first line.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Alone asks for a new connection, since an idle one may be about to be closed by its other end.
	Alone bool
	// Echo is a header of the request that the answer repeats; an answer with another value belongs to another request.
	Echo string
}

// appendTo writes the request in its wire form.
func (r *Request) appendTo(b *bytes.Buffer) {
	fmt.Fprintf(b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	_ = r.Header.WriteSubset(b, frameHeaders)
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
}

// frameHeaders are written by appendTo itself.
var frameHeaders = map[string]bool{"Host": true, "Content-Length": true}

// PassOn copies the headers that do not concern one connection only.
func PassOn(from http.Header) http.Header {
	to := make(http.Header, len(from)+4)
	for k, vs := range from {
		to[k] = vs
	}
	for _, v := range from["Connection"] {
		for _, name := range strings.Split(v, ",") {
			delete(to, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, k := range connectionHeaders {
		delete(to, k)
	}
	return to
}
