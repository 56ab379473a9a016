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

// mutedConn discards writes while muted is set.
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

// TestStopWithSilentPeer checks that a planned stop does not wait for a peer whose connection has gone silent.
func TestStopWithSilentPeer(t *testing.T) {
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
		waitFor(t, "both nodes have two usable members", func() bool { return hasUsable(first, 2) && hasUsable(second, 2) })
		muted.Store(true)
		began := time.Now()
		second.stop()
		assert.Assert(t, time.Since(began) < time.Second, "the stop took %s", time.Since(began))
	})
}
