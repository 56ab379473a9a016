package ferrypeer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferrypeer"
)

// TestDocumentBypassesSilentLinks publishes a document after all links went silent, before they are replaced.
// The document must reach all members within the limit, and no live member may be suspected in the end.
func TestDocumentBypassesSilentLinks(t *testing.T) {
	for _, tt := range []struct {
		name   string
		before time.Duration
		limit  time.Duration
	}{
		{"just silent", 0, 1600 * time.Millisecond},
		{"silent for a while", 1500 * time.Millisecond, 300 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			w := newFaultFleet(7)
			for name, c := range w.Cores() {
				for pick := range c.Overlay.Links() {
					w.Silence(name, pick)
				}
			}
			w.Run(tt.before)
			w.publish("entry-03")
			took, ok := w.RunUntil(100*time.Millisecond, 10*time.Second, func() bool {
				for name := range w.Cores() {
					if w.documents[name].n != w.newest {
						return false
					}
				}
				return true
			})
			t.Logf("replicated to all members after %s", took)
			assert.Assert(t, ok && took <= tt.limit, "replication took %s", took)
			w.Run(15 * time.Second)
			assert.Equal(t, w.divergence(), "")
			for name, c := range w.Cores() {
				for _, m := range c.Overlay.Members().List {
					assert.Equal(t, m.Status, ferrypeer.Alive, "status at %s of %s", name, m.Name)
				}
			}
		})
	}
}
