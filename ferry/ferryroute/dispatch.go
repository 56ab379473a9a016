package ferryroute

import (
	"time"

	"cactusferry.dev/ferry/ferryid"
)

// observeInterval is the minimum time between two speed measurements of a running call.
const observeInterval = time.Second

// Failure is the kind of failure of a call.
type Failure int

// The kinds of failure. A refused or broken connection excludes an upstream at once, other
// failures after several in a row.
const (
	FailureConnection Failure = iota
	FailureAnswer
)

// Dispatch is one call that this entry has sent to an upstream. It is not safe for concurrent use.
type Dispatch struct {
	table     *Table
	up        *upstream
	remaining ferryid.Tokens
	predicted ferryid.Tokens
	produced  ferryid.Tokens
	// measuredTokens are the tokens produced up to measuredAt, the time of the last speed measurement.
	measuredTokens ferryid.Tokens
	measuredAt     time.Time
	ended          bool
}

// Start counts a call with its predicted work. It returns nil if the upstream is not in the table.
func (t *Table) Start(name ferryid.UpstreamName, predicted ferryid.Tokens, now time.Time) *Dispatch {
	t.mu.Lock()
	defer t.mu.Unlock()
	u, ok := t.byName[name]
	if !ok {
		return nil
	}
	predicted = max(1, predicted)
	u.history.record(u.row.load, now)
	u.row.load.own.Add(int64(predicted))
	u.row.load.ownRunning.Add(1)
	return &Dispatch{table: t, up: u, remaining: predicted, predicted: predicted, measuredAt: now}
}

// Progress reports the tokens produced so far. The first ones end the prefill phase, which is not measured.
//
// A call that exceeds its prediction counts as half done.
func (d *Dispatch) Progress(n ferryid.Tokens, now time.Time) {
	if d == nil || d.ended || n <= d.produced {
		return
	}
	step := n - d.produced
	first := d.produced == 0
	d.produced = n
	if n > d.predicted {
		d.predicted = 2 * n
		d.setRemaining(n)
	} else {
		d.setRemaining(max(0, d.remaining-step))
	}
	if first {
		d.measuredTokens, d.measuredAt = n, now
		return
	}
	if now.Sub(d.measuredAt) < observeInterval {
		return
	}
	d.table.observe(d.up, n-d.measuredTokens, now.Sub(d.measuredAt), now)
	d.measuredTokens, d.measuredAt = n, now
}

// Finish ends a call that produced n tokens in total.
func (d *Dispatch) Finish(n ferryid.Tokens, now time.Time) {
	if d == nil || d.ended {
		return
	}
	if n > d.measuredTokens {
		d.table.observe(d.up, n-d.measuredTokens, now.Sub(d.measuredAt), now)
	}
	d.end(now)
	d.table.succeeded(d.up)
}

// Cancel ends a call that was cancelled by its caller or by this entry, and not because of the upstream.
func (d *Dispatch) Cancel(now time.Time) {
	if d == nil || d.ended {
		return
	}
	d.end(now)
}

// Fail ends a call that failed at the upstream.
func (d *Dispatch) Fail(f Failure, now time.Time) {
	if d == nil || d.ended {
		return
	}
	d.end(now)
	d.table.failed(d.up, f, now)
}

func (d *Dispatch) setRemaining(n ferryid.Tokens) {
	d.up.row.load.own.Add(int64(n - d.remaining))
	d.remaining = n
}

func (d *Dispatch) end(now time.Time) {
	d.table.mu.Lock()
	d.up.history.record(d.up.row.load, now)
	d.table.mu.Unlock()
	d.setRemaining(0)
	d.up.row.load.ownRunning.Add(-1)
	d.ended = true
}
