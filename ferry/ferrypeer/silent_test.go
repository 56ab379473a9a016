package ferrypeer_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferrynettest"
	"cactusferry.dev/ferry/ferrypeer"
)

// mutedConn loses what is written to it, and hears nothing more, while muted is set.
type mutedConn struct {
	net.Conn
	muted *atomic.Bool
}

func (c *mutedConn) Write(b []byte) (int, error) {
	if c.muted.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// TestEndPastSilentPeer ends a node whose connection to a peer has fallen silent: a planned stop must not wait for that peer.
func TestEndPastSilentPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		muted := &atomic.Bool{}
		mute := func(cfg *ferrypeer.Config) {
			cfg.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				c, err := ferrynettest.Dial(ctx, network, address)
				return &mutedConn{Conn: c, muted: muted}, err
			}
		}
		first := startNode(t, "entry-0", "domain-0", nil, mute)
		second := startNode(t, "entry-1", "domain-1", []string{first.address}, mute)
		waitFor(t, "both see both", func() bool { return sees(first, 2) && sees(second, 2) })
		muted.Store(true)
		began := time.Now()
		second.end()
		assert.Assert(t, time.Since(began) < time.Second, "it took %s", time.Since(began))
	})
}
