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
	// watchWait is how long the platform may hold one watch.
	watchWait = 30 * time.Second
	// relistInterval bounds the time for which a change that a watch never showed stays unseen.
	relistInterval = 5 * time.Minute
)

// watchMessage is what happened to a watcher.
type watchMessage interface{ watchMessage() }

type (
	// watchStarted asks for the first action, after a start or after a pause.
	watchStarted struct{}
	// watchListed is the answer to listStore.
	watchListed struct {
		changes ferryplatform.Changes
		err     error
	}
	// watchSeen is the answer to watchStore.
	watchSeen struct {
		changes ferryplatform.Changes
		err     error
		took    time.Duration
	}
	// watchRepaired is the answer to repairStore.
	watchRepaired struct{ err error }
)

func (watchStarted) watchMessage()  {}
func (watchListed) watchMessage()   {}
func (watchSeen) watchMessage()     {}
func (watchRepaired) watchMessage() {}

// watchAction is what a watcher asks its shell to do next.
type watchAction interface{ watchAction() }

type (
	// listStore lists all documents.
	listStore struct{}
	// watchStore waits for changes after a version.
	watchStore struct{ after ferryplatform.Version }
	// repairStore puts a document in force back into a store that is behind it.
	repairStore struct {
		expected ferryplatform.Version
		accepted ferryservice.Accepted
	}
	// pauseWatch waits.
	pauseWatch struct{ d time.Duration }
)

func (listStore) watchAction()   {}
func (watchStore) watchAction()  {}
func (repairStore) watchAction() {}
func (pauseWatch) watchAction()  {}

// watchCore decides the steps of one watcher; it offers what it sees to the holder, and does no I/O itself.
type watchCore struct {
	holder   *Holder
	rnd      *rand.Rand
	live     int
	after    ferryplatform.Version
	listed   bool
	listedAt time.Time
	relist   time.Duration
	failures int
	repairs  []repairStore
	// seen are the generations that the store has shown.
	seen map[ferryid.ServiceName]ferryid.Generation
}

func newWatchCore(h *Holder, rnd *rand.Rand) *watchCore {
	return &watchCore{holder: h, rnd: rnd, live: 1, seen: map[ferryid.ServiceName]ferryid.Generation{}}
}

// next takes one message and returns the next action.
func (c *watchCore) next(msg watchMessage, now time.Time) watchAction {
	switch m := msg.(type) {
	case watchListed:
		return c.onListed(m, now)
	case watchSeen:
		return c.onSeen(m, now)
	case watchRepaired:
		return c.onRepaired(m, now)
	}
	return c.proceed(now)
}

// proceed goes on from a state without an answer outstanding.
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
		c.storeBack("*", "list at version %d after version %d", m.changes.Version, c.after)
	}
	c.after = m.changes.Version
	c.offer(m.changes.Objects)
	c.repairs = c.behind(m.changes.Objects)
	for _, r := range c.repairs {
		c.storeBack(string(r.accepted.Service), "generation %d is in force and not in the store", r.accepted.Generation)
	}
	return c.proceed(now)
}

func (c *watchCore) onSeen(m watchSeen, now time.Time) watchAction {
	if m.err != nil {
		return c.onFailure(m.err)
	}
	if m.changes.Version < c.after {
		c.storeBack("*", "watch at version %d after version %d", m.changes.Version, c.after)
		c.listed = false
		return c.proceed(now)
	}
	c.failures = 0
	c.after = m.changes.Version
	if c.offer(m.changes.Objects) || (len(m.changes.Objects) == 0 && c.unseen()) {
		c.listed = false
	}
	if len(m.changes.Objects) == 0 && m.took < watchWait/2 {
		// A platform that ends watches at once would otherwise be asked in a busy loop.
		return pauseWatch{backoff(c.live, 0, c.rnd)}
	}
	return c.proceed(now)
}

// onRepaired lists again soon after a repair that did not land, unless somebody else was faster.
func (c *watchCore) onRepaired(m watchRepaired, now time.Time) watchAction {
	var conflict *ferryplatform.ConflictError
	if m.err == nil || errors.As(m.err, &conflict) {
		return c.proceed(now)
	}
	return c.onFailure(m.err)
}

// onFailure pauses and then lists, as the store may have changed in any way meanwhile.
func (c *watchCore) onFailure(err error) watchAction {
	c.listed = false
	d := backoff(c.live, c.failures, c.rnd)
	c.failures++
	var over *ferryplatform.BudgetError
	if errors.As(err, &over) {
		d += over.RetryAfter
	}
	return pauseWatch{d}
}

// offer hands objects to the holder, and reports whether the store may have gone back, which only a list can tell.
func (c *watchCore) offer(objects []ferryplatform.Object) bool {
	back := false
	for _, o := range objects {
		if o.Deleted {
			back = true
			continue
		}
		a, err := ferryservice.DecodeEnvelope(o.Value)
		if err != nil || string(a.Service) != o.Name {
			c.holder.events.Add(EventInvalid, o.Name, "version %d in the store: %v", o.Version, err)
			continue
		}
		c.seen[a.Service] = a.Generation
		if c.holder.Offer(a, "store") == Older {
			back = true
		}
	}
	return back
}

// unseen reports whether a document came into force by another way that the store has not shown: it may have gone back
// to where the watch had last seen it.
func (c *watchCore) unseen() bool {
	for _, f := range c.holder.All() {
		if c.seen[f.Accepted.Service] < f.Accepted.Generation {
			return true
		}
	}
	return false
}

func (c *watchCore) storeBack(subject, format string, args ...any) {
	c.holder.events.Add(EventStoreBack, subject, format, args...)
}

// behind returns the repairs of a store whose list lacks documents in force, or has earlier versions of them.
func (c *watchCore) behind(objects []ferryplatform.Object) []repairStore {
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
