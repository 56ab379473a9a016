package ferryrelay

import (
	"context"
	"time"

	"cactusferry.dev/ferrystand/ferrydemo"
)

const idleSettle = 5 * time.Second

// Idle is what the entries of a fleet spend while no caller asks for anything.
type Idle struct {
	Entries int
	// CoreShare is the mean share of one core that an entry uses, from 0 to 1.
	CoreShare float64
	// Bytes is the mean resident memory of an entry.
	Bytes int64
	// PlatformCalls is the number of calls a second that all entries together make to the platform.
	PlatformCalls float64
}

// MeasureIdle starts a fleet of real processes and watches its entries for a while.
func MeasureIdle(ctx context.Context, programs string, engines, entries int, d time.Duration) (Idle, error) {
	out := Idle{Entries: entries}
	f, err := ferrydemo.New(ferrydemo.Config{Dir: programs, Engines: engines, Entries: entries})
	if err != nil {
		return out, err
	}
	defer f.KillAll()
	if err := f.StartUpstreams(ctx); err != nil {
		return out, err
	}
	for _, e := range f.Entries {
		if err := f.StartEntry(ctx, e); err != nil {
			return out, err
		}
	}
	if err := f.Accept(ctx, ferrydemo.ModelService, f.ModelDocument(128)); err != nil {
		return out, err
	}
	time.Sleep(idleSettle)
	before, err := fleetCPU(f)
	if err != nil {
		return out, err
	}
	calls, err := platformCalls(ctx, f)
	if err != nil {
		return out, err
	}
	began := time.Now()
	time.Sleep(d)
	took := time.Since(began).Seconds()
	after, err := fleetCPU(f)
	if err != nil {
		return out, err
	}
	later, err := platformCalls(ctx, f)
	if err != nil {
		return out, err
	}
	out.CoreShare = (after - before).Seconds() / took / float64(entries)
	out.PlatformCalls = float64(later-calls) / took
	for _, e := range f.Entries {
		n, err := resident(e.Process.PID())
		if err != nil {
			return out, err
		}
		out.Bytes += n / int64(entries)
	}
	return out, nil
}

func fleetCPU(f *ferrydemo.Fleet) (time.Duration, error) {
	var total time.Duration
	for _, e := range f.Entries {
		d, err := cpu(e.Process.PID())
		if err != nil {
			return 0, err
		}
		total += d
	}
	return total, nil
}

// platformCalls is what the platform stand-in has counted.
func platformCalls(ctx context.Context, f *ferrydemo.Fleet) (int, error) {
	var counts map[string]int
	if err := f.GetJSON(ctx, "http://"+f.Platform+"/admin/calls", &counts); err != nil {
		return 0, err
	}
	total := 0
	for _, n := range counts {
		total += n
	}
	return total, nil
}
