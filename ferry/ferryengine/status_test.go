package ferryengine_test

import (
	"errors"
	"testing"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryengine"
	"cactusferry.dev/ferry/ferrynettest"
	"cactusferry.dev/ferry/ferryoutcome"
	"cactusferry.dev/ferry/ferrystatus"
)

// TestStatusThatIsNotFinal guards against an outcome other than Unknown of an answer without a final status: it says
// neither that the call ran nor, by its header, that it did not.
func TestStatusThatIsNotFinal(t *testing.T) {
	for text, status := range ferrynettest.InvalidStatuses {
		for _, rest := range []string{"Content-Length: 0\r\n\r\n", "Content-Length: 2\r\n\r\n{}", ferryoutcome.Header + ": NotRun\r\nContent-Length: 0\r\n\r\n"} {
			for name, call := range map[string]func(c *ferryengine.Client, address string) error{
				"run": func(c *ferryengine.Client, address string) error {
					_, err := c.Run(t.Context(), runRequest(address))
					return err
				},
				"order": func(c *ferryengine.Client, address string) error {
					return c.Order(t.Context(), address, ferryengine.Order{Fence: 1, Service: "s", Layers: runRequest(address).Stages[0].Layers, State: ferryengine.StateLive})
				},
				"load": func(c *ferryengine.Client, address string) error {
					_, err := c.Load(t.Context(), address)
					return err
				},
			} {
				t.Run(text+" "+name, func(t *testing.T) {
					s := ferrynettest.NewRawServer(t, "HTTP/1.1 "+text+" x\r\n"+rest, "HTTP/1.1 404 None\r\nContent-Length: 0\r\n\r\n")
					c := ferryengine.New(ferryengine.ClientConfig{Clock: clockwork.NewFakeClock()})
					err := call(c, s.Address)
					var invalid *ferrystatus.InvalidError
					assert.Assert(t, errors.As(err, &invalid), "%v", err)
					assert.DeepEqual(t, invalid, &ferrystatus.InvalidError{Status: status, Source: s.Address})
					var d *ferryengine.DispatchError
					assert.Assert(t, errors.As(err, &d))
					assert.Equal(t, d.Outcome(), ferryoutcome.Unknown)
					s.WaitClosed()
					assert.Equal(t, s.Requests(), 1)
					err = call(c, s.Address)
					assert.Assert(t, errors.As(err, new(*ferryengine.NotFoundError)), "%v", err)
					assert.Equal(t, s.Connections(), 2)
				})
			}
		}
	}
}
