package ferryplatformtest

import (
	"cmp"
	"context"
	"slices"
	"time"

	"cactusferry.dev/ferry/ferryplatform"
)

// List returns all objects of a kind.
func (f *Fake) List(ctx context.Context, kind string) (ferryplatform.Changes, error) {
	if err := f.beginCall(ctx, "list "+kind, func(c *ferryplatform.Calls) { c.List++ }); err != nil {
		return ferryplatform.Changes{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applyDue()
	return f.statedChanges(f.list(kind)), nil
}

func (f *Fake) list(kind string) ferryplatform.Changes {
	return listSnapshot(f.readState(), kind)
}

// readState returns the state for lists and watches, which is stale under OldReads.
func (f *Fake) readState() snapshot {
	if f.faults.OldReads && f.saved != nil {
		return *f.saved
	}
	return snapshot{version: f.version, objects: f.objects}
}

func listSnapshot(s snapshot, kind string) ferryplatform.Changes {
	out := ferryplatform.Changes{Version: s.version, Objects: []ferryplatform.Object{}}
	for k, cs := range s.objects {
		if o := cs[len(cs)-1].object; k.kind == kind && !o.Deleted {
			out.Objects = append(out.Objects, copyObject(o))
		}
	}
	sortObjects(out.Objects)
	return out
}

// oldWatchAnswer returns a watch's answer with the objects of the last Snapshot at version after, if
// OldWatches calls for one.
func (f *Fake) oldWatchAnswer(kind string, after ferryplatform.Version) (ferryplatform.Changes, bool) {
	if f.faults.OldWatches == 0 || f.saved == nil {
		return ferryplatform.Changes{}, false
	}
	out := listSnapshot(*f.saved, kind)
	if len(out.Objects) == 0 {
		return out, false
	}
	f.faults.OldWatches--
	out.Version = after
	return out, true
}

// Watch returns when objects of a kind have changed after a version, or when the wait is over. If the version
// is newer than the store's, after a rollback, it returns the whole list.
func (f *Fake) Watch(ctx context.Context, kind string, after ferryplatform.Version, wait time.Duration) (ferryplatform.Changes, error) {
	op := "watch " + kind
	if err := f.beginCall(ctx, op, func(c *ferryplatform.Calls) { c.Watch++ }); err != nil {
		return ferryplatform.Changes{}, err
	}
	timeout := f.clock.After(wait)
	for {
		found, changed, err := f.currentAnswer(op, kind, after)
		if err != nil || len(found.Objects) > 0 || found.Version < after {
			return found, err
		}
		select {
		case <-ctx.Done():
			return ferryplatform.Changes{}, &ferryplatform.UnavailableError{Op: op, Err: ctx.Err()}
		case <-timeout:
			return found, nil
		case <-changed:
		}
	}
}

// currentAnswer returns the current answer to a watch, and a channel that is closed when it may have changed.
func (f *Fake) currentAnswer(op, kind string, after ferryplatform.Version) (ferryplatform.Changes, <-chan struct{}, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applyDue()
	if f.faults.Outage {
		return ferryplatform.Changes{}, nil, &ferryplatform.UnavailableError{Op: op, Err: errOutage}
	}
	if out, ok := f.oldWatchAnswer(kind, after); ok {
		return out, f.changed, nil
	}
	asked := after
	after, ok := f.revision(asked)
	if !ok {
		return ferryplatform.Changes{}, nil, &ferryplatform.HistoryGoneError{Kind: kind, After: asked}
	}
	state := f.readState()
	if after > state.version {
		return f.statedChanges(listSnapshot(state, kind)), f.changed, nil
	}
	horizon := f.clock.Now().Add(-millis(f.faults.WatchLagMS))
	out := ferryplatform.Changes{Version: after, Objects: []ferryplatform.Object{}}
	nextVisible := time.Duration(-1)
	for k, cs := range state.objects {
		if k.kind != kind {
			continue
		}
		o, next := visible(cs, horizon)
		if o.Version > after {
			out.Objects = append(out.Objects, copyObject(o))
			out.Version = max(out.Version, o.Version)
		}
		if next > 0 && (nextVisible < 0 || next < nextVisible) {
			nextVisible = next
		}
	}
	sortObjects(out.Objects)
	if len(out.Objects) == 0 && nextVisible > 0 {
		f.wakeAfter(nextVisible)
	}
	return f.statedChanges(out), f.changed, nil
}

// visible returns the newest version up to the horizon, and the time until the next one becomes visible.
func visible(cs []change, horizon time.Time) (ferryplatform.Object, time.Duration) {
	var o ferryplatform.Object
	for _, c := range cs {
		if c.at.After(horizon) {
			return o, c.at.Sub(horizon)
		}
		o = c.object
	}
	return o, 0
}

func (f *Fake) wakeAfter(d time.Duration) {
	f.clock.AfterFunc(d, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.wake()
	})
}

func sortObjects(os []ferryplatform.Object) {
	slices.SortFunc(os, func(a, b ferryplatform.Object) int { return cmp.Compare(a.Version, b.Version) })
}
