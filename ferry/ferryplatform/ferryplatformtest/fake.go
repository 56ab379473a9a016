package ferryplatformtest

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"cactusferry.dev/ferry/ferryplatform"
)

var (
	errOutage = errors.New("outage")
	errLost   = errors.New("answer lost")
)

type objectKey struct{ kind, name string }

// change is one version of an object with the time at which it took effect.
type change struct {
	at     time.Time
	object ferryplatform.Object
}

// write is a conditional write; due is set for one that takes effect later.
type write struct {
	due      time.Time
	key      objectKey
	expected ferryplatform.Version
	value    []byte
	deleted  bool
}

// Fake is an in-memory platform; it implements ferryplatform.Store and ferryplatform.Lister.
type Fake struct {
	clock     clockwork.Clock
	mu        sync.Mutex
	faults    Faults
	calls     ferryplatform.Calls
	version   ferryplatform.Version
	epoch     ferryplatform.Epoch
	objects   map[objectKey][]change
	pending   []write
	instances []listing
	saved     *snapshot
	changed   chan struct{}
}

// snapshot is the state saved by Snapshot.
type snapshot struct {
	version ferryplatform.Version
	objects map[objectKey][]change
}

// New returns an empty platform with the given clock.
func New(clock clockwork.Clock) *Fake {
	return &Fake{clock: clock, objects: map[objectKey][]change{}, changed: make(chan struct{})}
}

// SetFaults replaces the injected faults and wakes waiting watches.
func (f *Fake) SetFaults(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
	f.wake()
}

// Faults returns the current faults.
func (f *Fake) Faults() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

// Calls returns the number of calls, by operation.
func (f *Fake) Calls() ferryplatform.Calls {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

// Snapshot saves the objects and the version for Restore.
func (f *Fake) Snapshot() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applyDue()
	f.saved = &snapshot{version: f.version, objects: cloneObjects(f.objects)}
}

// Restore rolls the objects and the version back to the last Snapshot; it returns false if there is none.
func (f *Fake) Restore() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.saved == nil {
		return false
	}
	f.applyDue()
	f.version = f.saved.version
	f.objects = cloneObjects(f.saved.objects)
	if f.epoch > 0 {
		f.epoch++
	}
	f.wake()
	return true
}

func cloneObjects(m map[objectKey][]change) map[objectKey][]change {
	out := make(map[objectKey][]change, len(m))
	for k, cs := range m {
		out[k] = slices.Clone(cs)
	}
	return out
}

// Get returns an object, or a *ferryplatform.NotFoundError.
func (f *Fake) Get(ctx context.Context, kind, name string) (ferryplatform.Object, error) {
	if err := f.beginCall(ctx, "get "+kind+"/"+name, func(c *ferryplatform.Calls) { c.Get++ }); err != nil {
		return ferryplatform.Object{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applyDue()
	o := f.latest(objectKey{kind, name})
	if o.Version == ferryplatform.NoVersion || o.Deleted {
		return ferryplatform.Object{}, &ferryplatform.NotFoundError{Kind: kind, Name: name}
	}
	return f.statedObject(copyObject(o)), nil
}

// Renew does nothing, since there are no connections.
func (f *Fake) Renew() {}

// Put writes a value if the object is at the expected version.
func (f *Fake) Put(ctx context.Context, kind, name string, expected ferryplatform.Version, value []byte) (ferryplatform.Version, error) {
	w := write{key: objectKey{kind, name}, expected: expected, value: slices.Clone(value)}
	return f.write(ctx, "put "+kind+"/"+name, w, func(c *ferryplatform.Calls) { c.Put++ })
}

// Delete deletes an object if it is at the expected version.
func (f *Fake) Delete(ctx context.Context, kind, name string, expected ferryplatform.Version) error {
	w := write{key: objectKey{kind, name}, expected: expected, deleted: true}
	_, err := f.write(ctx, "delete "+kind+"/"+name, w, func(c *ferryplatform.Calls) { c.Delete++ })
	return err
}

// write performs a conditional write. If ctx ends during the delay, the write still takes effect when it is
// due.
func (f *Fake) write(ctx context.Context, op string, w write, count func(*ferryplatform.Calls)) (ferryplatform.Version, error) {
	due := f.clock.Now().Add(millis(f.Faults().DelayMS))
	if err := f.beginCall(ctx, op, count); err != nil {
		if ctx.Err() == nil {
			return 0, err
		}
		f.postpone(w, due)
		return 0, &ferryplatform.UnknownOutcomeError{Op: op, Err: ctx.Err()}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applyDue()
	revision, ok := f.revision(w.expected)
	if !ok {
		return 0, &ferryplatform.ConflictError{Kind: w.key.kind, Name: w.key.name, Expected: w.expected}
	}
	w.expected = revision
	if f.faults.LoseAnswers == 0 {
		v, err := f.apply(w, f.clock.Now())
		return f.stated(v), err
	}
	f.faults.LoseAnswers--
	if f.faults.LateEffectMS > 0 {
		f.schedule(w, f.clock.Now().Add(millis(f.faults.LateEffectMS)))
	} else {
		_, _ = f.apply(w, f.clock.Now())
	}
	return 0, &ferryplatform.UnknownOutcomeError{Op: op, Err: errLost}
}

// beginCall counts a call, fails it in an outage and otherwise waits for the delay.
func (f *Fake) beginCall(ctx context.Context, op string, count func(*ferryplatform.Calls)) error {
	f.mu.Lock()
	count(&f.calls)
	delay := millis(f.faults.DelayMS)
	outage := f.faults.Outage
	f.mu.Unlock()
	if outage {
		return &ferryplatform.UnavailableError{Op: op, Err: errOutage}
	}
	if delay <= 0 {
		return nil
	}
	select {
	case <-ctx.Done():
		return &ferryplatform.UnavailableError{Op: op, Err: ctx.Err()}
	case <-f.clock.After(delay):
		return nil
	}
}

func (f *Fake) postpone(w write, due time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.schedule(w, due)
}

func (f *Fake) schedule(w write, due time.Time) {
	w.due = due
	f.pending = append(f.pending, w)
	f.clock.AfterFunc(due.Sub(f.clock.Now()), func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.applyDue()
	})
}

// applyDue applies the late writes that are due.
func (f *Fake) applyDue() {
	now := f.clock.Now()
	rest := f.pending[:0]
	for _, w := range f.pending {
		if w.due.After(now) {
			rest = append(rest, w)
			continue
		}
		_, _ = f.apply(w, w.due)
	}
	f.pending = rest
}

// apply applies a conditional write with the given time of effect.
func (f *Fake) apply(w write, at time.Time) (ferryplatform.Version, error) {
	old := f.latest(w.key)
	current := old.Version
	if old.Deleted {
		current = ferryplatform.NoVersion
	}
	if w.deleted && current == ferryplatform.NoVersion {
		return 0, &ferryplatform.NotFoundError{Kind: w.key.kind, Name: w.key.name}
	}
	if current != w.expected {
		return 0, &ferryplatform.ConflictError{Kind: w.key.kind, Name: w.key.name, Expected: w.expected}
	}
	f.version++
	o := ferryplatform.Object{Kind: w.key.kind, Name: w.key.name, Version: f.version, Deleted: w.deleted, Value: w.value}
	f.objects[w.key] = append(f.prune(f.objects[w.key]), change{at: at, object: o})
	f.wake()
	return f.version, nil
}

// prune drops the versions that are too old to be returned by a lagging watch.
func (f *Fake) prune(cs []change) []change {
	horizon := f.clock.Now().Add(-millis(f.faults.WatchLagMS))
	keep := 0
	for i, c := range cs {
		if !c.at.After(horizon) {
			keep = i
		}
	}
	return slices.Clone(cs[keep:])
}

func (f *Fake) latest(k objectKey) ferryplatform.Object {
	cs := f.objects[k]
	if len(cs) == 0 {
		return ferryplatform.Object{}
	}
	return cs[len(cs)-1].object
}

func (f *Fake) wake() {
	close(f.changed)
	f.changed = make(chan struct{})
}

func copyObject(o ferryplatform.Object) ferryplatform.Object {
	o.Value = slices.Clone(o.Value)
	return o
}
