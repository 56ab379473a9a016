package ferrydocument

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryplatform"
	"cactusferry.dev/ferry/ferryplatform/ferryplatformtest"
	"cactusferry.dev/ferry/ferryservice"
)

// TestWatcherDetectsRollbackToLastWatchedVersion guards against a rollback that the watch does not show: a
// version arrives from a peer, and the store is rolled back to the version that the watch last returned.
func TestWatcherDetectsRollbackToLastWatchedVersion(t *testing.T) {
	clock := clockwork.NewFakeClockAt(time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC))
	store := ferryplatformtest.New(clock)
	h := NewHolder(clock, nil)
	core := newWatchCore(h, rand.New(rand.NewPCG(1, 0)))
	assert.Equal(t, core.next(watchStarted{}, clock.Now()), watchAction(listStore{}))
	assert.Equal(t, core.next(watchListed{}, clock.Now()), watchAction(watchStore{}))
	a := ferryservice.Accepted{Service: modelService, Generation: 1, Source: "Service = \"parlour-api\"\nTeam = \"t\"\nKind = \"Plain\"\n"}
	assert.Equal(t, h.Offer(a, "peer"), Taken)
	changes, err := store.Watch(t.Context(), ferryservice.ObjectKind, 0, 0)
	assert.NilError(t, err)
	assert.Equal(t, core.next(watchReturned{changes, nil, watchWait}, clock.Now()), watchAction(listStore{}))
	action := core.next(watchListed{}, clock.Now())
	repair, ok := action.(repairStore)
	assert.Assert(t, ok, "%T", action)
	assert.Equal(t, repair.expected, ferryplatform.NoVersion)
	assert.Equal(t, repair.accepted.Hash(), a.Hash())
}
