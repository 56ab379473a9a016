package ferrystatus

import (
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// Transport is an http.RoundTripper that returns an *InvalidError for an answer without a final status and closes its
// connection. The answer to a request with Upgrade may have status 101.
type Transport struct {
	// Base sends the requests; nil selects http.DefaultTransport.
	Base http.RoundTripper
}

// RoundTrip sends one request.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var conn atomic.Pointer[net.Conn]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { conn.Store(&info.Conn) }}
	resp, err := t.base().RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode == http.StatusSwitchingProtocols && r.Header.Get("Upgrade") != "" {
		return resp, nil
	}
	if err := Check(resp.StatusCode, r.URL.Host); err != nil {
		// Closing the body alone would keep the connection if the body is empty or was read to its end.
		if c := conn.Load(); c != nil {
			_ = (*c).Close()
		}
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections closes the idle connections of Base.
func (t *Transport) CloseIdleConnections() {
	if c, ok := t.base().(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

func (t *Transport) base() http.RoundTripper {
	if t.Base == nil {
		return http.DefaultTransport
	}
	return t.Base
}
