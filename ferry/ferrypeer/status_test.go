package ferrypeer

import (
	"errors"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryevent"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrynettest"
	"cactusferry.dev/ferry/ferrystatus"
)

// TestStatusThatIsNotFinal guards against keeping the connection of an answer without a final status to the next dial of
// the same peer.
func TestStatusThatIsNotFinal(t *testing.T) {
	for text, status := range ferrynettest.InvalidStatuses {
		t.Run(text, func(t *testing.T) {
			s := ferrynettest.NewRawServer(t, "HTTP/1.1 "+text+" x\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 404 None\r\nContent-Length: 0\r\n\r\n")
			clock := clockwork.NewRealClock()
			n := New(Config{Self: Member{Name: "a", Incarnation: ferryid.NewIncarnation()}, Clock: clock, Log: zerolog.Nop(), Events: ferryevent.NewLog(clock, "a", 10)})
			defer n.client.CloseIdleConnections()
			_, _, err := n.dial(t.Context(), s.Address, PurposeLink, Dial{Address: s.Address})
			var invalid *ferrystatus.InvalidError
			assert.Assert(t, errors.As(err, &invalid), "%v", err)
			assert.DeepEqual(t, invalid, &ferrystatus.InvalidError{Status: status, Source: s.Address})
			s.WaitClosed()
			_, _, err = n.dial(t.Context(), s.Address, PurposeLink, Dial{Address: s.Address})
			assert.ErrorContains(t, err, "404")
			assert.Equal(t, s.Connections(), 2)
		})
	}
}
