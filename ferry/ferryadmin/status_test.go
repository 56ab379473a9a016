package ferryadmin

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferrynettest"
	"cactusferry.dev/ferry/ferrystatus"
)

// TestStatusThatIsNotFinal guards against reporting an answer without a final status as an entry's refusal.
func TestStatusThatIsNotFinal(t *testing.T) {
	for text, status := range ferrynettest.InvalidStatuses {
		t.Run(text, func(t *testing.T) {
			s := ferrynettest.NewRawServer(t, "HTTP/1.1 "+text+" x\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
			c := NewClient("http://"+s.Address, "", nil)
			defer c.http.CloseIdleConnections()
			var out struct{}
			err := c.get(t.Context(), "/x", &out)
			var invalid *ferrystatus.InvalidError
			assert.Assert(t, errors.As(err, &invalid), "%v", err)
			assert.DeepEqual(t, invalid, &ferrystatus.InvalidError{Status: status, Source: s.Address})
			var unreachable *UnreachableError
			assert.Assert(t, errors.As(err, &unreachable) && unreachable.Sent, "%v", err)
			s.WaitClosed()
			assert.NilError(t, c.get(t.Context(), "/x", &out))
			assert.Equal(t, s.Connections(), 2)
		})
	}
}
