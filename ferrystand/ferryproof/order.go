package ferryproof

import (
	"context"
	"fmt"
	"strings"
	"syscall"
	"time"

	"cactusferry.dev/ferrystand/ferrydemo"
	"cactusferry.dev/ferrystand/ferryprocess"
)

const (
	orderLimit        = 40 * time.Second
	holderFreezeTime  = 16 * time.Second
	holderResumedTime = 5 * time.Second
	leaseObject       = "/v1/objects/leases/orders-" + ferrydemo.ModelService
)

var orders = Case{
	Name:      "orders",
	Guarantee: "no engine ends in a state other than that of the current document",
	Faults:    "the lease holder frozen past the end of its lease, its successor acts on a newer document, the old holder resumed; one engine ignores fencing numbers",
	size:      ferrydemo.Config{Engines: 4, Entries: 3},
	run: func(ctx context.Context, h *harness) error {
		err := h.PutJSON(ctx, "http://"+h.Engines[0].Address+"/admin/faults", map[string]any{"IgnoreFencing": true})
		if err != nil {
			return err
		}
		if err := h.waitVersion(ctx, "1"); err != nil {
			return err
		}
		holder, err := h.leaseHolder(ctx)
		if err != nil {
			return err
		}
		h.note("%s holds the lease and is frozen", holder.Name)
		if err := holder.Process.Signal(syscall.SIGSTOP); err != nil {
			return err
		}
		frozen := time.Now()
		if err := h.applyVersion(ctx, holder, "2"); err != nil {
			return err
		}
		if err := h.waitVersion(ctx, "2"); err != nil {
			return err
		}
		if rest := holderFreezeTime - time.Since(frozen); rest > 0 {
			time.Sleep(rest)
		}
		if err := holder.Process.Signal(syscall.SIGCONT); err != nil {
			return err
		}
		h.note("%s resumed", holder.Name)
		time.Sleep(holderResumedTime)
		return h.waitVersion(ctx, "2")
	},
}

// leaseHolder returns the entry whose incarnation is the holder in the lease object.
func (h *harness) leaseHolder(ctx context.Context) (*ferrydemo.Entry, error) {
	var record struct{ Holder string }
	if err := h.GetJSON(ctx, "http://"+h.PlatformAddress+leaseObject, &record); err != nil {
		return nil, err
	}
	for _, e := range h.Entries {
		s, err := h.Status(ctx, e)
		if err == nil && s.Incarnation == record.Holder {
			return e, nil
		}
	}
	return nil, fmt.Errorf("no running entry has the incarnation of the lease holder %q", record.Holder)
}

// applyVersion applies a document with another model version, through an entry that is not frozen.
func (h *harness) applyVersion(ctx context.Context, frozen *ferrydemo.Entry, version string) error {
	text := strings.Replace(h.ModelDocument(128), `Version = "1"`, fmt.Sprintf("Version = %q", version), 1)
	all := h.Entries
	defer func() { h.Entries = all }()
	h.Entries = nil
	for _, e := range all {
		if e != frozen {
			h.Entries = append(h.Entries, e)
		}
	}
	return h.apply(ctx, ferrydemo.ModelService, text, 1, "afternoon")
}

// waitVersion waits until every engine has loaded the version.
func (h *harness) waitVersion(ctx context.Context, version string) error {
	ctx, cancel := context.WithTimeout(ctx, orderLimit)
	defer cancel()
	began := time.Now()
	for _, e := range h.Engines {
		err := ferryprocess.Poll(ctx, func(ctx context.Context) error {
			var load struct{ Version string }
			if err := h.GetJSON(ctx, "http://"+e.Address+"/v1/load", &load); err != nil {
				return err
			}
			if load.Version != version {
				return fmt.Errorf("%s has version %q loaded, expected %q", e.Name, load.Version, version)
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	h.note("all %d engines have loaded version %s after %s", len(h.Engines), version, time.Since(began).Round(time.Millisecond))
	return nil
}
