package ferrypeer_test

import (
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferrypeer"
)

// TestSecretIsReplacedEntryByEntry rotates a key in rounds. In each round, entries that still have the keys of the
// previous round must be able to connect to entries that have the new ones.
func TestSecretIsReplacedEntryByEntry(t *testing.T) {
	type keys []string
	with := func(ks keys) func(*ferrypeer.Config) {
		return func(c *ferrypeer.Config) {
			c.Secret = []byte(ks[0])
			c.OtherSecrets = nil
			for _, k := range ks[1:] {
				c.OtherSecrets = append(c.OtherSecrets, []byte(k))
			}
		}
	}
	tests := []struct {
		name          string
		before, after keys
		connects      bool
	}{
		{"the new key is added", keys{"old"}, keys{"old", "new"}, true},
		{"the new key comes first", keys{"old", "new"}, keys{"new", "old"}, true},
		{"the old key is removed", keys{"new", "old"}, keys{"new"}, true},
		{"a round is skipped", keys{"old"}, keys{"new", "old"}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := startNode(t, "entry-a", "domain-1", nil, with(tt.before))
				b := startNode(t, "entry-b", "domain-1", []string{a.address}, with(tt.after))
				if tt.connects {
					waitFor(t, "both nodes have two usable members", func() bool { return hasUsable(a, 2) && hasUsable(b, 2) })
					return
				}
				waitFor(t, "the refusal is counted", func() bool { return a.Counts()[string(ferrypeer.CloseUnauthenticated)] > 0 })
				assert.Assert(t, hasUsable(a, 1) && hasUsable(b, 1))
			})
		})
	}
}
