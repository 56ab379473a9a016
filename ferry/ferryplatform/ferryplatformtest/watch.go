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
	if err := f.enter(ctx, "list "+kind, func(c *ferryplatform.Calls) { c.List++ }); err != nil {
		return ferryplatform.Changes{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settle()
	return f.list(kind), nil
}

func (f *Fake) list(kind string) ferryplatform.Changes {
	return listOf(f.shown(), kind)
}

// shown is the state that lists and watches show.
func (f *Fake) shown() snapshot {
	if f.faults.OldReads && f.saved != nil {
		return *f.saved
	}
	return snapshot{version: f.version, objects: f.objects}
}

func listOf(s snapshot, kind string) ferryplatform.Changes {
	out := ferryplatform.Changes{Version: s.version, Objects: []ferryplatform.Object{}}
	for k, cs := range s.objects {
		if o := cs[len(cs)-1].object; k.kind == kind && !o.Deleted {
			out.Objects = append(out.Objects, copyObject(o))
		}
	}
	sortObjects(out.Objects)
	return out
}

// old is a watch's answer that goes back to the last Snapshot under the version asked for, if one is due.
func (f *Fake) old(kind string, after ferryplatform.Version) (ferryplatform.Changes, bool) {
	if f.faults.OldWatches == 0 || f.saved == nil {
		return ferryplatform.Changes{}, false
	}
	out := listOf(*f.saved, kind)
	if len(out.Objects) == 0 {
		return out, false
	}
	f.faults.OldWatches--
	out.Version = after
	return out, true
}

// Watch waits until objects of a kind change after a version; a version from before a restore is answered with the whole list.
func (f *Fake) Watch(ctx context.Context, kind string, after ferryplatform.Version, wait time.Duration) (ferryplatform.Changes, error) {
	op := "watch " + kind
	if err := f.enter(ctx, op, func(c *ferryplatform.Calls) { c.Watch++ }); err != nil {
		return ferryplatform.Changes{}, err
	}
	over := f.clock.After(wait)
	for {
		found, changed, err := f.look(op, kind, after)
		if err != nil || len(found.Objects) > 0 || found.Version < after {
			return found, err
		}
		select {
		case <-ctx.Done():
			return ferryplatform.Changes{}, &ferryplatform.UnavailableError{Op: op, Err: ctx.Err()}
		case <-over:
			return found, nil
		case <-changed:
		}
	}
}

// look returns what a watch shows now, and a channel that closes when that may have changed.
func (f *Fake) look(op, kind string, after ferryplatform.Version) (ferryplatform.Changes, <-chan struct{}, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settle()
	if f.faults.Outage {
		return ferryplatform.Changes{}, nil, &ferryplatform.UnavailableError{Op: op, Err: errOutage}
	}
	if out, ok := f.old(kind, after); ok {
		return out, f.changed, nil
	}
	state := f.shown()
	if after > state.version {
		return listOf(state, kind), f.changed, nil
	}
	horizon := f.clock.Now().Add(-millis(f.faults.WatchLagMS))
	out := ferryplatform.Changes{Version: after, Objects: []ferryplatform.Object{}}
	hidden := time.Duration(-1)
	for k, cs := range state.objects {
		if k.kind != kind {
			continue
		}
		o, next := visible(cs, horizon)
		if o.Version > after {
			out.Objects = append(out.Objects, copyObject(o))
			out.Version = max(out.Version, o.Version)
		}
		if next > 0 && (hidden < 0 || next < hidden) {
			hidden = next
		}
	}
	sortObjects(out.Objects)
	if len(out.Objects) == 0 && hidden > 0 {
		f.wakeAfter(hidden)
	}
	return out, f.changed, nil
}

// visible returns the newest version that is old enough, and how long the next one still has to wait.
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
