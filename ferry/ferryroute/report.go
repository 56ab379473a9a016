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
	// maxReportSkew is how far in the future a report may be dated, because of clock skew.
	maxReportSkew = time.Second
	// maxReportAge is the age from which a report is too old to be used.
	maxReportAge = 30 * time.Second
	// reportWeight is the weight of one report in the moving average of the other entries' load.
	reportWeight  = 0.05
	historySize   = 64
	historyPeriod = 100 * time.Millisecond
)

// Report is an upstream's delayed report of its load from all entries.
type Report struct {
	Upstream          ferryid.UpstreamName `json:"Upstream"`
	RunningStreams    float64              `json:"RunningStreams"`
	OutstandingTokens float64              `json:"OutstandingTokens"`
	TokensPerSecond   float64              `json:"TokensPerSecond"`
	At                time.Time            `json:"At"`
}

// ReportFault is the reason why a report was refused.
type ReportFault string

// The reasons to refuse a report.
const (
	FaultUnknown ReportFault = "UnknownUpstream"
	FaultNumber  ReportFault = "NotANumber"
	FaultRange   ReportFault = "OutOfRange"
	FaultFuture  ReportFault = "FromTheFuture"
	FaultOld     ReportFault = "TooOld"
	FaultOrder   ReportFault = "OutOfOrder"
)

// ReportCounts are the numbers of refused reports by fault.
type ReportCounts map[ReportFault]uint64

// ReportError is returned if a report was refused.
type ReportError struct {
	Upstream ferryid.UpstreamName
	Fault    ReportFault
}

func (e *ReportError) Error() string {
	return fmt.Sprintf("load report of %q refused: %s", e.Upstream, e.Fault)
}

// Report applies an upstream's report. An invalid one has no effect, is counted and returns a *ReportError.
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
	u.lastReport = r.At
	own, running := u.history.loadAt(r.At)
	u.smooth(max(0, r.OutstandingTokens-float64(own)), max(0, r.RunningStreams-float64(running)), t.opts.RawReports)
	u.row.load.others.Store(int64(u.others))
	u.row.load.othersRunning.Store(int32(math.Round(u.othersRunning)))
	return nil
}

// smooth updates the moving averages of the other entries' load. Following delayed reports
// directly would cause herding.
func (u *upstream) smooth(tokens, streams float64, raw bool) {
	w := reportWeight
	if raw || !u.hasReport {
		w, u.hasReport = 1, true
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
	case !r.At.After(u.lastReport):
		return FaultOrder
	}
	return ""
}

// history records this entry's outstanding work, to subtract it from delayed reports.
type history struct {
	samples [historySize]loadSample
	n       int
}

type loadSample struct {
	at      time.Time
	own     int64
	running int64
}

// record adds a sample of the current load, at most once per historyPeriod.
func (h *history) record(l *load, now time.Time) {
	if h.n > 0 && now.Sub(h.samples[(h.n-1)%historySize].at) < historyPeriod {
		return
	}
	h.samples[h.n%historySize] = loadSample{at: now, own: l.own.Load(), running: int64(l.ownRunning.Load())}
	h.n++
}

// loadAt returns the load at a time: that of the first sample not before it, or of the last one.
func (h *history) loadAt(when time.Time) (own, running int64) {
	var m loadSample
	for k := h.n - 1; k >= max(0, h.n-historySize); k-- {
		m2 := h.samples[k%historySize]
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
