package ferrybudget

import (
	"cmp"
	"slices"
	"time"

	"cactusferry.dev/ferry/ferryid"
)

// Report is what one process of another entry has last published about its usage.
type Report struct {
	Entry   ferryid.EntryName
	Process ferryid.Incarnation
	Usage   Usage
	// Age is the time since the report was received.
	Age time.Duration
}

// ledgerRow is the last report of a process.
type ledgerRow struct {
	entry   ferryid.EntryName
	usage   Usage
	heardAt time.Time
}

// SetReported sets the current reports of the other entries; it is called several times a second. The last
// report of a process that published no more counts until the retries it tells of have left the window.
func (b *Budget) SetReported(reports []Report) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.cfg.Clock.Now()
	for _, r := range reports {
		b.ledger[r.Process] = ledgerRow{entry: r.Entry, usage: r.Usage, heardAt: now.Add(-r.Age)}
	}
	for p, row := range b.ledger {
		if now.Sub(row.heardAt) > b.cfg.Window {
			delete(b.ledger, p)
		}
	}
}

// MustReport reports whether this entry must publish its usage: it uses the shared part of the allowance, or in
// a small fleet another one does, which has to know that this one does not.
func (b *Budget) MustReport() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	if float64(sum(b.retries)) >= b.own() && sum(b.retries) > 0 {
		return true
	}
	if !b.small() {
		return false
	}
	for _, row := range b.ledger {
		if row.usage.Shared > 0 || row.usage.Repeats > 0 {
			return true
		}
	}
	return false
}

// small reports whether the fleet is small, so that an entry that is not heard counts as cut off.
func (b *Budget) small() bool { return b.entries <= smallFleet }

// sharedUsage returns how much of the shared part the other entries have used, as far as known. In a small
// fleet an entry that is not heard counts with an even share of it, or what it last reported.
func (b *Budget) sharedUsage() float64 {
	now := b.cfg.Clock.Now()
	total, heard := 0.0, 0
	var silent []float64
	latest := b.latestProcesses()
	for p, row := range b.ledger {
		used := float64(row.usage.Shared)
		switch {
		case latest[row.entry] != p:
			// A process that ended; the rest of its window still counts.
			total += used
		case !b.small() || now.Sub(row.heardAt) <= reportTTL:
			total += used
			heard++
		default:
			silent = append(silent, used)
		}
	}
	if !b.small() {
		return total
	}
	return total + b.silentUsage(silent, max(0, b.entries-1-heard))
}

// silentUsage returns the assumed usage of the given number of entries that are not heard, some of which have
// reported a usage before.
func (b *Budget) silentUsage(reported []float64, missing int) float64 {
	even := b.sharedAllowance() / float64(b.entries)
	slices.SortFunc(reported, func(x, y float64) int { return cmp.Compare(y, x) })
	total := even * float64(max(0, missing-len(reported)))
	for i, used := range reported {
		if i < missing {
			used = max(used, even)
		}
		total += used
	}
	return total
}

// latestProcesses returns the process of each entry that was heard last.
func (b *Budget) latestProcesses() map[ferryid.EntryName]ferryid.Incarnation {
	latest := make(map[ferryid.EntryName]ferryid.Incarnation, len(b.ledger))
	for p, row := range b.ledger {
		if q, ok := latest[row.entry]; !ok || b.ledger[q].heardAt.Before(row.heardAt) {
			latest[row.entry] = p
		}
	}
	return latest
}
