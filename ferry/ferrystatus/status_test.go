package ferrystatus_test

import (
	"errors"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferrynettest"
	"cactusferry.dev/ferry/ferrystatus"
)

func TestIsFinal(t *testing.T) {
	for status, want := range map[int]bool{
		-1: false, 0: false, 20: false, 99: false, 100: false, 101: false, 199: false, 200: true, 204: true, 304: true, 421: true, 599: true, 600: false, 999: false, 1000: false,
	} {
		assert.Equal(t, ferrystatus.IsFinal(status), want, "%d", status)
		err := ferrystatus.Check(status, "10.0.0.1:80")
		assert.Equal(t, err == nil, want, "%d", status)
	}
	assert.Error(t, ferrystatus.Check(99, "10.0.0.1:80"), "10.0.0.1:80 answered with status 099, which is not a final status of HTTP")
}

// TestTransport checks that an answer without a final status is an error and that its connection is not used again.
func TestTransport(t *testing.T) {
	for _, tt := range []struct {
		name, first, upgrade string
		invalid              int
		connections          int
	}{
		{"final", "HTTP/1.1 599 x\r\nContent-Length: 0\r\n\r\n", "", 0, 1},
		{"interim before final", "HTTP/1.1 103 x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "", 0, 1},
		{"status 600", "HTTP/1.1 600 x\r\nContent-Length: 0\r\n\r\n", "", 600, 2},
		{"status 600 with a body", "HTTP/1.1 600 x\r\nContent-Length: 1\r\n\r\nx", "", 600, 2},
		{"interim before 999", "HTTP/1.1 103 x\r\n\r\nHTTP/1.1 999 x\r\nContent-Length: 0\r\n\r\n", "", 999, 2},
		{"status 101 without Upgrade", "HTTP/1.1 101 x\r\nUpgrade: u\r\nConnection: Upgrade\r\n\r\n", "", 101, 2},
		{"status 101 with Upgrade", "HTTP/1.1 101 x\r\nUpgrade: u\r\nConnection: Upgrade\r\n\r\n", "u", 0, 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := ferrynettest.NewRawServer(t, tt.first, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			transport := &ferrystatus.Transport{Base: &http.Transport{}}
			defer transport.CloseIdleConnections()
			c := &http.Client{Transport: transport}
			r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+s.Address, nil)
			assert.NilError(t, err)
			if tt.upgrade != "" {
				r.Header.Set("Upgrade", tt.upgrade)
				r.Header.Set("Connection", "Upgrade")
			}
			resp, err := c.Do(r)
			if err == nil {
				_ = resp.Body.Close()
			}
			var invalid *ferrystatus.InvalidError
			assert.Equal(t, errors.As(err, &invalid), tt.invalid > 0, "%v", err)
			if tt.invalid > 0 {
				assert.DeepEqual(t, invalid, &ferrystatus.InvalidError{Status: tt.invalid, Source: s.Address})
				s.WaitClosed()
			}
			again, err := c.Get("http://" + s.Address)
			assert.NilError(t, err)
			_ = again.Body.Close()
			assert.Equal(t, s.Connections(), tt.connections)
		})
	}
}
