package ferrydocument

import (
	"errors"
	"math/rand/v2"
	"time"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryplatform"
	"cactusferry.dev/ferry/ferryservice"
)

const (
	// watchWait is the long-poll timeout of one watch.
	watchWait = 30 * time.Second
	// relistInterval is the average interval of full lists, which find changes that the watch did not show.
	relistInterval = 5 * time.Minute
)

// watchMessage is an input of watchCore.
type watchMessage interface{ watchMessage() }

type (
	// watchStarted requests the next action after a start or a pause.
	watchStarted struct{}
	// watchListed is the result of listStore.
	watchListed struct {
		changes ferryplatform.Changes
		err     error
	}
	// watchReturned is the result of watchStore.
	watchReturned struct {
		changes ferryplatform.Changes
		err     error
		elapsed time.Duration
	}
	// watchRepaired is the result of repairStore.
	watchRepaired struct{ err error }
)

func (watchStarted) watchMessage()  {}
func (watchListed) watchMessage()   {}
func (watchReturned) watchMessage() {}
func (watchRepaired) watchMessage() {}

// watchAction is an output of watchCore: the next step for its caller to perform.
type watchAction interface{ watchAction() }

type (
	// listStore lists all documents.
	listStore struct{}
	// watchStore waits for changes after a version.
	watchStore struct{ after ferryplatform.Version }
	// repairStore writes a document in force back to a store that has an older version or none.
	repairStore struct {
		expected ferryplatform.Version
		accepted ferryservice.Accepted
	}
	// pauseWatch waits before the next request.
	pauseWatch struct{ d time.Duration }
)

func (listStore) watchAction()   {}
func (watchStore) watchAction()  {}
func (repairStore) watchAction() {}
func (pauseWatch) watchAction()  {}

// watchCore is the state machine of one watcher; it offers documents from the store to the holder and does no
// I/O.
type watchCore struct {
	holder      *Holder
	rnd         *rand.Rand
	liveEntries int
	after       ferryplatform.Version
	listed      bool
	listedAt    time.Time
	relist      time.Duration
	failures    int
	repairs     []repairStore
	// storeGenerations is the generation last read from the store, per service.
	storeGenerations map[ferryid.ServiceName]ferryid.Generation
}

func newWatchCore(h *Holder, rnd *rand.Rand) *watchCore {
	return &watchCore{holder: h, rnd: rnd, liveEntries: 1, storeGenerations: map[ferryid.ServiceName]ferryid.Generation{}}
}

// next processes one message and returns the next action.
func (c *watchCore) next(msg watchMessage, now time.Time) watchAction {
	switch m := msg.(type) {
	case watchListed:
		return c.onListed(m, now)
	case watchReturned:
		return c.onWatchReturned(m, now)
	case watchRepaired:
		return c.onRepaired(m, now)
	}
	return c.proceed(now)
}

// proceed returns the next action when no request is outstanding.
func (c *watchCore) proceed(now time.Time) watchAction {
	if !c.listed || now.Sub(c.listedAt) >= c.relist {
		return listStore{}
	}
	if len(c.repairs) > 0 {
		r := c.repairs[0]
		c.repairs = c.repairs[1:]
		return r
	}
	return watchStore{c.after}
}

func (c *watchCore) onListed(m watchListed, now time.Time) watchAction {
	if m.err != nil {
		return c.onFailure(m.err)
	}
	c.failures = 0
	c.listed = true
	c.listedAt = now
	c.relist = relistInterval/2 + time.Duration(c.rnd.Int64N(int64(relistInterval)))
	if m.changes.Version < c.after {
		c.reportRollback("*", "list at version %d after version %d", m.changes.Version, c.after)
	}
	c.after = m.changes.Version
	c.offer(m.changes.Objects)
	c.repairs = c.repairsFor(m.changes.Objects)
	for _, r := range c.repairs {
		c.reportRollback(string(r.accepted.Service), "generation %d is in force and not in the store", r.accepted.Generation)
	}
	return c.proceed(now)
}

func (c *watchCore) onWatchReturned(m watchReturned, now time.Time) watchAction {
	if m.err != nil {
		return c.onFailure(m.err)
	}
	if m.changes.Version < c.after {
		c.reportRollback("*", "watch at version %d after version %d", m.changes.Version, c.after)
		c.listed = false
		return c.proceed(now)
	}
	c.failures = 0
	c.after = m.changes.Version
	if c.offer(m.changes.Objects) || (len(m.changes.Objects) == 0 && c.hasUnseenVersions()) {
		c.listed = false
	}
	if len(m.changes.Objects) == 0 && m.elapsed < watchWait/2 {
		// A platform that ends watches early would otherwise be polled in a busy loop.
		return pauseWatch{backoff(c.liveEntries, 0, c.rnd)}
	}
	return c.proceed(now)
}

// onRepaired lists again, after a pause, if a repair failed; a conflict is no failure, as another entry wrote
// first.
func (c *watchCore) onRepaired(m watchRepaired, now time.Time) watchAction {
	var conflict *ferryplatform.ConflictError
	if m.err == nil || errors.As(m.err, &conflict) {
		return c.proceed(now)
	}
	return c.onFailure(m.err)
}

// onFailure pauses and then lists, as the store may have changed in any way in the meantime.
func (c *watchCore) onFailure(err error) watchAction {
	c.listed = false
	d := backoff(c.liveEntries, c.failures, c.rnd)
	c.failures++
	var over *ferryplatform.BudgetError
	if errors.As(err, &over) {
		d += over.RetryAfter
	}
	return pauseWatch{d}
}

// offer offers objects to the holder and reports whether the store may have been rolled back, which only a
// list can confirm.
func (c *watchCore) offer(objects []ferryplatform.Object) bool {
	rolledBack := false
	for _, o := range objects {
		if o.Deleted {
			rolledBack = true
			continue
		}
		a, err := ferryservice.DecodeEnvelope(o.Value)
		if err != nil || string(a.Service) != o.Name {
			c.holder.events.Add(EventInvalid, o.Name, "version %d in the store: %v", o.Version, err)
			continue
		}
		c.storeGenerations[a.Service] = a.Generation
		if c.holder.Offer(a, "store") == Older {
			rolledBack = true
		}
	}
	return rolledBack
}

// hasUnseenVersions reports whether a document in force, received by other means than the watch, is newer
// than the version last read from the store. The store may then have been rolled back to the version that
// the watch last returned, so that the watch does not show it.
func (c *watchCore) hasUnseenVersions() bool {
	for _, f := range c.holder.All() {
		if c.storeGenerations[f.Accepted.Service] < f.Accepted.Generation {
			return true
		}
	}
	return false
}

func (c *watchCore) reportRollback(subject, format string, args ...any) {
	c.holder.events.Add(EventStoreRolledBack, subject, format, args...)
}

// repairsFor returns the repairs for documents in force that the listed store lacks or has in an earlier
// version.
func (c *watchCore) repairsFor(objects []ferryplatform.Object) []repairStore {
	stored := make(map[string]ferryplatform.Object, len(objects))
	for _, o := range objects {
		stored[o.Name] = o
	}
	var out []repairStore
	for _, f := range c.holder.All() {
		o, ok := stored[string(f.Accepted.Service)]
		if !ok {
			out = append(out, repairStore{ferryplatform.NoVersion, f.Accepted})
			continue
		}
		a, err := ferryservice.DecodeEnvelope(o.Value)
		if err == nil && compare(f, a, a.Hash()) == Older {
			out = append(out, repairStore{o.Version, f.Accepted})
		}
	}
	return out
}
