package ferryroute

import (
	"fmt"
	"math"
	"time"

	"cactusferry.dev/ferry/ferryid"
)

const (
	maxReportedTokens  = 1e9
	maxReportedRate    = 1e9
	maxReportedStreams = 1e6
	// maxReportSkew is how far in the future a report may be dated, for clocks that differ.
	maxReportSkew = time.Second
	// maxReportAge is the age from which a report says nothing any more.
	maxReportAge = 30 * time.Second
	// reportWeight is the weight of one report in what other entries have in the long run.
	reportWeight  = 0.05
	historySize   = 64
	historyPeriod = 100 * time.Millisecond
)

// Report is an upstream's own, lagging account of its load over all entries.
type Report struct {
	Upstream          ferryid.UpstreamName `json:"Upstream"`
	RunningStreams    float64              `json:"RunningStreams"`
	OutstandingTokens float64              `json:"OutstandingTokens"`
	TokensPerSecond   float64              `json:"TokensPerSecond"`
	At                time.Time            `json:"At"`
}

// ReportFault says why a report was refused.
type ReportFault string

// The faults of reports.
const (
	FaultUnknown ReportFault = "UnknownUpstream"
	FaultNumber  ReportFault = "NotANumber"
	FaultRange   ReportFault = "OutOfRange"
	FaultFuture  ReportFault = "FromTheFuture"
	FaultOld     ReportFault = "TooOld"
	FaultOrder   ReportFault = "OutOfOrder"
)

// ReportCounts counts refused reports by fault.
type ReportCounts map[ReportFault]uint64

// ReportError says that a report was refused and changed nothing.
type ReportError struct {
	Upstream ferryid.UpstreamName
	Fault    ReportFault
}

func (e *ReportError) Error() string {
	return fmt.Sprintf("load report of %q refused: %s", e.Upstream, e.Fault)
}

// Report takes an upstream's report; a bad one is counted, changes nothing and returns a *ReportError.
func (t *Table) Report(r Report, now time.Time) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.byName[r.Upstream]
	if f := r.fault(u, now); f != "" {
		if t.refused == nil {
			t.refused = ReportCounts{}
		}
		t.refused[f]++
		return &ReportError{Upstream: r.Upstream, Fault: f}
	}
	u.reported = r.At
	own, running := u.history.at(r.At)
	u.smooth(max(0, r.OutstandingTokens-float64(own)), max(0, r.RunningStreams-float64(running)), t.opts.RawReports)
	u.row.load.others.Store(int64(u.others))
	u.row.load.othersRunning.Store(int32(math.Round(u.othersRunning)))
	return nil
}

// smooth keeps what other entries have here in the long run; a choice by their load of some seconds ago would herd.
func (u *upstream) smooth(tokens, streams float64, raw bool) {
	w := reportWeight
	if raw || !u.heard {
		w, u.heard = 1, true
	}
	u.others += w * (tokens - u.others)
	u.othersRunning += w * (streams - u.othersRunning)
}

// RefusedReports returns the counts of refused reports.
func (t *Table) RefusedReports() ReportCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := ReportCounts{}
	for f, n := range t.refused {
		out[f] = n
	}
	return out
}

func (r *Report) fault(u *upstream, now time.Time) ReportFault {
	if u == nil {
		return FaultUnknown
	}
	numbers := []struct{ v, most float64 }{
		{r.RunningStreams, maxReportedStreams}, {r.OutstandingTokens, maxReportedTokens}, {r.TokensPerSecond, maxReportedRate},
	}
	for _, n := range numbers {
		if math.IsNaN(n.v) || math.IsInf(n.v, 0) {
			return FaultNumber
		}
		if n.v < 0 || n.v > n.most {
			return FaultRange
		}
	}
	switch {
	case r.At.After(now.Add(maxReportSkew)):
		return FaultFuture
	case r.At.Before(now.Add(-maxReportAge)):
		return FaultOld
	case !r.At.After(u.reported):
		return FaultOrder
	}
	return ""
}

// history remembers what this entry had outstanding, to take its own part out of a late report.
type history struct {
	marks [historySize]mark
	n     int
}

type mark struct {
	at      time.Time
	own     int64
	running int64
}

// note records the load that held until now, at most once a period.
func (h *history) note(l *load, now time.Time) {
	if h.n > 0 && now.Sub(h.marks[(h.n-1)%historySize].at) < historyPeriod {
		return
	}
	h.marks[h.n%historySize] = mark{at: now, own: l.own.Load(), running: int64(l.ownRunning.Load())}
	h.n++
}

// at returns what was outstanding at a time, by the first mark not before it, or by the last one.
func (h *history) at(when time.Time) (own, running int64) {
	var m mark
	for k := h.n - 1; k >= max(0, h.n-historySize); k-- {
		m2 := h.marks[k%historySize]
		if m2.at.Before(when) {
			if m.at.IsZero() {
				m = m2
			}
			break
		}
		m = m2
	}
	return m.own, m.running
}
