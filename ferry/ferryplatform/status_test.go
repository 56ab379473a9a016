package ferryplatform_test

import (
	"errors"
	"testing"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferrynettest"
	"cactusferry.dev/ferry/ferryplatform"
	"cactusferry.dev/ferry/ferrystatus"
)

// TestStatusThatIsNotFinal guards against treating an answer without a final status as an answer of the platform.
func TestStatusThatIsNotFinal(t *testing.T) {
	for text, status := range ferrynettest.InvalidStatuses {
		for _, rest := range []string{"Content-Length: 0\r\n\r\n", "ETag: \"7\"\r\nContent-Length: 3\r\n\r\nbad"} {
			for want, call := range map[string]func(c *ferryplatform.Client) error{
				"Unavailable": func(c *ferryplatform.Client) error {
					_, err := c.Get(t.Context(), "k", "n")
					return err
				},
				"Unknown": func(c *ferryplatform.Client) error {
					_, err := c.Put(t.Context(), "k", "n", ferryplatform.NoVersion, []byte("v"))
					return err
				},
			} {
				t.Run(text+" "+want, func(t *testing.T) {
					s := ferrynettest.NewRawServer(t, "HTTP/1.1 "+text+" x\r\n"+rest, "HTTP/1.1 200 OK\r\nETag: \"8\"\r\nContent-Length: 0\r\n\r\n")
					c := ferryplatform.New(ferryplatform.ClientConfig{URL: "http://" + s.Address, Clock: clockwork.NewFakeClockAt(start)})
					defer c.Renew()
					err := call(c)
					var invalid *ferrystatus.InvalidError
					assert.Assert(t, errors.As(err, &invalid), "%v", err)
					assert.DeepEqual(t, invalid, &ferrystatus.InvalidError{Status: status, Source: s.Address})
					assert.Equal(t, errorKind(err), want)
					assert.Assert(t, !c.Up())
					s.WaitClosed()
					assert.Equal(t, s.Requests(), 1)
					assert.NilError(t, call(c))
					assert.Equal(t, s.Connections(), 2)
				})
			}
		}
	}
}
