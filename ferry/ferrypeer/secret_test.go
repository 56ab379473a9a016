package ferrypeer_test

import (
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferrypeer"
)

// A key is replaced in rounds, in each of which entries of the round before and of this one must meet.
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
		meet          bool
	}{
		{"the new key is added", keys{"old"}, keys{"old", "new"}, true},
		{"the new key comes first", keys{"old", "new"}, keys{"new", "old"}, true},
		{"the old key goes", keys{"new", "old"}, keys{"new"}, true},
		{"a round left out", keys{"old"}, keys{"new", "old"}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := startNode(t, "entry-a", "domain-1", nil, with(tt.before))
				b := startNode(t, "entry-b", "domain-1", []string{a.address}, with(tt.after))
				if tt.meet {
					waitFor(t, "both see both", func() bool { return sees(a, 2) && sees(b, 2) })
					return
				}
				waitFor(t, "the refusal is counted", func() bool { return a.Counts()[string(ferrypeer.CloseUnauthenticated)] > 0 })
				assert.Assert(t, sees(a, 1) && sees(b, 1))
			})
		})
	}
}
