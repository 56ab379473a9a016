package ferryplatformtest

import (
	"cmp"
	"context"
	"slices"
	"time"

	"cactusferry.dev/ferry/ferryplatform"
)

// maxListings bounds the past instance lists kept for ListLagMS.
const maxListings = 1024

// listing is the instance list as of a time.
type listing struct {
	at   time.Time
	rows ferryplatform.Instances
}

// Instances returns the instance list as it was ListLagMS ago.
func (f *Fake) Instances(ctx context.Context) (ferryplatform.Instances, error) {
	if err := f.beginCall(ctx, "instances", func(c *ferryplatform.Calls) { c.Instances++ }); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	horizon := f.clock.Now().Add(-millis(f.faults.ListLagMS))
	rows := ferryplatform.Instances{}
	for _, l := range f.instances {
		if l.at.After(horizon) {
			break
		}
		rows = l.rows
	}
	return slices.Clone(rows), nil
}

// SetInstance adds an instance or replaces the one of the same name.
func (f *Fake) SetInstance(in ferryplatform.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.setRows(append(f.rowsWithout(in.Name), in))
}

// RemoveInstance removes an instance from the list.
func (f *Fake) RemoveInstance(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.setRows(f.rowsWithout(name))
}

func (f *Fake) rowsWithout(name string) ferryplatform.Instances {
	if len(f.instances) == 0 {
		return nil
	}
	rows := slices.Clone(f.instances[len(f.instances)-1].rows)
	return slices.DeleteFunc(rows, func(in ferryplatform.Instance) bool { return in.Name == name })
}

func (f *Fake) setRows(rows ferryplatform.Instances) {
	slices.SortFunc(rows, func(a, b ferryplatform.Instance) int { return cmp.Compare(a.Name, b.Name) })
	f.instances = append(f.instances, listing{at: f.clock.Now(), rows: rows})
	if len(f.instances) > maxListings {
		f.instances = slices.Delete(f.instances, 0, 1)
	}
}
