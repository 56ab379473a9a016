package ferryrelay

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cactusferry.dev/ferrystand/ferrydemo"
)

const idleSettleTime = 5 * time.Second

// Idle is the resource use of the entries of a fleet without calls.
type Idle struct {
	Entries int
	// CoreShare is the mean share of one core that an entry uses, from 0 to 1.
	CoreShare float64
	// Bytes is the mean resident memory of an entry.
	Bytes int64
	// PlatformCalls is the rate of calls per second from all entries together to the platform.
	PlatformCalls float64
	// Engines is the mean number of engines that an entry uses.
	Engines float64
	// LoadAge is the mean age of the load reports that entries hold, over entries and engines.
	LoadAge time.Duration
	// LoadReads is the mean number of engines that an entry reads per second.
	LoadReads float64
}

// MeasureIdle starts a fleet of processes and measures its entries for d without calls.
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
	if err := f.ApplyFirst(ctx, ferrydemo.ModelService, f.ModelDocument(128)); err != nil {
		return out, err
	}
	time.Sleep(idleSettleTime)
	before, err := fleetCPU(f)
	if err != nil {
		return out, err
	}
	calls, err := platformCalls(ctx, f)
	if err != nil {
		return out, err
	}
	reads, err := sumMetric(ctx, f, "ferryd_load_reads")
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
	if err := out.addLoadMetrics(ctx, f, reads, took); err != nil {
		return out, err
	}
	for _, e := range f.Entries {
		n, err := residentBytes(e.Process.PID())
		if err != nil {
			return out, err
		}
		out.Bytes += n / int64(entries)
	}
	return out, nil
}

// addLoadMetrics sets the fields about engines' loads from the metrics of the entries; before is the sum of
// ferryd_load_reads at the start and took the elapsed time in seconds.
func (i *Idle) addLoadMetrics(ctx context.Context, f *ferrydemo.Fleet, before, took float64) error {
	reads, err := sumMetric(ctx, f, "ferryd_load_reads")
	if err != nil {
		return err
	}
	age, err := sumMetric(ctx, f, "ferryd_load_age_seconds")
	if err != nil {
		return err
	}
	engines, err := sumMetric(ctx, f, "ferryd_engines_worked")
	if err != nil {
		return err
	}
	n := float64(len(f.Entries))
	i.LoadReads, i.Engines = (reads-before)/took/n, engines/n
	i.LoadAge = time.Duration(age / n * float64(time.Second))
	return nil
}

// sumMetric returns the sum of a metric over all entries and tags.
func sumMetric(ctx context.Context, f *ferrydemo.Fleet, name string) (float64, error) {
	sum := 0.0
	for _, e := range f.Entries {
		text, err := httpGet(ctx, "http://"+e.CallerAddress+"/metrics")
		if err != nil {
			return 0, err
		}
		for line := range strings.Lines(text) {
			fields := strings.Fields(line)
			if len(fields) != 2 || (fields[0] != name && !strings.HasPrefix(fields[0], name+"{")) {
				continue
			}
			v, err := strconv.ParseFloat(fields[1], 64)
			if err != nil {
				return 0, err
			}
			sum += v
		}
	}
	return sum, nil
}

func httpGet(ctx context.Context, url string) (string, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return "", err
	}
	w, err := http.DefaultClient.Do(r)
	if err != nil {
		return "", err
	}
	defer w.Body.Close()
	b, err := io.ReadAll(w.Body)
	return string(b), err
}

func fleetCPU(f *ferrydemo.Fleet) (time.Duration, error) {
	var total time.Duration
	for _, e := range f.Entries {
		d, err := cpuTime(e.Process.PID())
		if err != nil {
			return 0, err
		}
		total += d
	}
	return total, nil
}

// platformCalls returns the number of calls that the simulated platform has counted.
func platformCalls(ctx context.Context, f *ferrydemo.Fleet) (int, error) {
	var counts map[string]int
	if err := f.GetJSON(ctx, "http://"+f.PlatformAddress+"/admin/calls", &counts); err != nil {
		return 0, err
	}
	total := 0
	for _, n := range counts {
		total += n
	}
	return total, nil
}
