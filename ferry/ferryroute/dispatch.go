package ferryroute

import (
	"time"

	"cactusferry.dev/ferry/ferryid"
)

// observeEvery is the least time between two looks at the speed of a running call.
const observeEvery = time.Second

// Failure says how a call to an upstream failed.
type Failure int

// The failures of a call; a refused or broken connection takes an upstream out at once, others after a few in a row.
const (
	FailureConnection Failure = iota
	FailureAnswer
)

// Dispatch is one call that this entry has sent to an upstream; its methods are called by one goroutine.
type Dispatch struct {
	table    *Table
	up       *upstream
	left     ferryid.Tokens
	total    ferryid.Tokens
	produced ferryid.Tokens
	from     ferryid.Tokens
	since    time.Time
	ended    bool
}

// Start counts a call to the upstream at once, by its predicted work; it returns nil for an upstream that is gone.
func (t *Table) Start(name ferryid.UpstreamName, predicted ferryid.Tokens, now time.Time) *Dispatch {
	t.mu.Lock()
	defer t.mu.Unlock()
	u, ok := t.byName[name]
	if !ok {
		return nil
	}
	predicted = max(1, predicted)
	u.history.note(u.row.load, now)
	u.row.load.own.Add(int64(predicted))
	u.row.load.ownRunning.Add(1)
	return &Dispatch{table: t, up: u, left: predicted, total: predicted, since: now}
}

// Progress tells how many tokens the call has produced so far, from the first on, which ends the reading of its prompt.
// A call that outgrows its prediction counts as half done.
func (d *Dispatch) Progress(n ferryid.Tokens, now time.Time) {
	if d == nil || d.ended || n <= d.produced {
		return
	}
	step := n - d.produced
	first := d.produced == 0
	d.produced = n
	if n > d.total {
		d.total = 2 * n
		d.setLeft(n)
	} else {
		d.setLeft(max(0, d.left-step))
	}
	if first {
		d.from, d.since = n, now
		return
	}
	if now.Sub(d.since) < observeEvery {
		return
	}
	d.table.observe(d.up, n-d.from, now.Sub(d.since), now)
	d.from, d.since = n, now
}

// Finish ends a call that produced n tokens in all.
func (d *Dispatch) Finish(n ferryid.Tokens, now time.Time) {
	if d == nil || d.ended {
		return
	}
	if n > d.from {
		d.table.observe(d.up, n-d.from, now.Sub(d.since), now)
	}
	d.end(now)
	d.table.succeeded(d.up)
}

// Cancel ends a call that was given up for reasons that lie with its caller or with this entry.
func (d *Dispatch) Cancel(now time.Time) {
	if d == nil || d.ended {
		return
	}
	d.end(now)
}

// Fail ends a call that the upstream failed.
func (d *Dispatch) Fail(f Failure, now time.Time) {
	if d == nil || d.ended {
		return
	}
	d.end(now)
	d.table.failed(d.up, f, now)
}

func (d *Dispatch) setLeft(n ferryid.Tokens) {
	d.up.row.load.own.Add(int64(n - d.left))
	d.left = n
}

func (d *Dispatch) end(now time.Time) {
	d.table.mu.Lock()
	d.up.history.note(d.up.row.load, now)
	d.table.mu.Unlock()
	d.setLeft(0)
	d.up.row.load.ownRunning.Add(-1)
	d.ended = true
}
