package ferryplain

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferrynettest"
	"cactusferry.dev/ferry/ferryoutcome"
	"cactusferry.dev/ferry/ferrystatus"
)

const laterAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// TestStatusThatIsNotFinal guards against passing on an answer without a final status, and against taking its header
// for a statement that the call was not run.
func TestStatusThatIsNotFinal(t *testing.T) {
	for text, status := range ferrynettest.InvalidStatuses {
		for _, rest := range []string{"Content-Length: 0\r\n\r\n", "Content-Length: 3\r\n\r\nbad", ferryoutcome.Header + ": NotRun\r\nContent-Length: 0\r\n\r\n"} {
			for _, idempotent := range []bool{true, false} {
				t.Run(text, func(t *testing.T) {
					s := ferrynettest.NewRawServer(t, "HTTP/1.1 "+text+" x\r\n"+rest, laterAnswer)
					c := New(ClientConfig{})
					defer c.Close()
					call := Call{Method: "GET", Path: "/x", Idempotent: idempotent}
					_, err := c.Do(t.Context(), s.Address, call)
					var invalid *ferrystatus.InvalidError
					assert.Assert(t, errors.As(err, &invalid), "%v", err)
					assert.DeepEqual(t, invalid, &ferrystatus.InvalidError{Status: status, Source: s.Address})
					var d *DispatchError
					assert.Assert(t, errors.As(err, &d))
					assert.Equal(t, d.Outcome(), ferryoutcome.Unknown)
					s.WaitClosed()
					assert.Equal(t, s.Requests(), 1)
					a, err := c.Do(t.Context(), s.Address, call)
					assert.NilError(t, err)
					assert.Equal(t, string(a.Body), "ok")
					assert.Equal(t, s.Connections(), 2)
				})
			}
		}
	}
}
