package ferryorder

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryid"
)

// otherEntry is an entry that reads groups for the holder, with a separate Orders that never runs.
type otherEntry struct {
	orders *Orders
	asked  atomic.Int32
	err    error
	silent bool
}

func (e *otherEntry) ReadGroup(ctx context.Context, a GroupAsk) (GroupAnswer, error) {
	e.asked.Add(1)
	if e.silent {
		<-ctx.Done()
		return GroupAnswer{}, ctx.Err()
	}
	if e.err != nil {
		return GroupAnswer{}, e.err
	}
	return e.orders.Read(ctx, a)
}

func TestEnginesReachWantedStateForAnyReader(t *testing.T) {
	for _, tc := range []struct {
		name   string
		reader *otherEntry
		within time.Duration
	}{
		{"reader answers", &otherEntry{}, 2 * time.Second},
		{"reader refuses", &otherEntry{err: errors.New("not here")}, 2 * time.Second},
		{"reader does not answer", &otherEntry{silent: true}, 15 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				d := &fakeTenure{fence: 1, until: time.Now().Add(time.Hour), engines: map[string]*engine{}}
				for _, r := range wantedAt(1).Engines {
					d.engines[r.Address] = &engine{checks: true, highest: ferryid.Fence(0), report: Report{Target: r.Target, Ready: true}}
				}
				tc.reader.orders = New(Config{Tenure: d, Engine: d})
				tc.reader.orders.Want(wantedAt(2))
				o := New(Config{Tenure: d, Engine: d, Readers: tc.reader})
				o.Want(wantedAt(2))
				go func() { _ = o.Run(ctx) }()
				time.Sleep(tc.within)
				for _, r := range wantedAt(2).Engines {
					rep, err := d.Report(ctx, r.Address)
					assert.NilError(t, err)
					assert.Equal(t, rep.Target, r.Target)
				}
				assert.Assert(t, tc.reader.asked.Load() > 0)
			})
		})
	}
}
