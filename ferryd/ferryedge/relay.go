package ferryedge

import (
	"context"
	"slices"
	"time"

	"cactusferry.dev/ferry/ferryduty"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypeer"
	"cactusferry.dev/ferry/ferryrelay"
)

// dutyReader is the duty of the one entry of each failure domain that reads the platform's objects for the others.
const dutyReader ferryduty.Duty = "reader"

func (e *Edge) newRelay() {
	e.relay = ferryrelay.New(ferryrelay.Config{
		Platform: e.cfg.Store, Clock: e.cfg.Steady, Log: e.cfg.Log, Scope: e.metrics.Scope, Reader: e.reader,
		// The overlay is made later, since its configuration holds the relay.
		Ask: func(ctx context.Context, name ferryid.EntryName, inc ferryid.Incarnation, kind ferrypeer.AskKind, body []byte) ([]byte, error) {
			return e.peer.Ask(ctx, name, inc, kind, body)
		},
	})
}

// reader returns the entry to read the platform's objects from; false means that this entry is one that reads them by itself.
//
// It is the first of the failure domain that serves and reaches the platform, else the first of all entries that does; where none does, the
// first of the failure domain goes on trying for the others.
func (e *Edge) reader() (ferryrelay.Reader, bool) {
	ms := e.peer.Members()
	near := ferryduty.InDomain(ms, dutyReader, e.cfg.Domain)
	far := ferryduty.Holders(ms, dutyReader, len(ms.List))
	for _, name := range slices.Concat(near, far) {
		if m, _ := ms.Get(name); e.usable(m) && e.reaches(name) {
			return e.readFrom(ms, name)
		}
	}
	if len(near) == 0 {
		return ferryrelay.Reader{}, false
	}
	return e.readFrom(ms, near[0])
}

func (e *Edge) readFrom(ms ferrypeer.Members, name ferryid.EntryName) (ferryrelay.Reader, bool) {
	m, ok := ms.Get(name)
	return ferryrelay.Reader{Name: name, Incarnation: m.Incarnation}, ok && name != e.cfg.Name
}

const (
	// companyWait is how long a starting entry waits for word of others before it reads the platform by itself; seeds answer within a few milliseconds.
	companyWait  = 300 * time.Millisecond
	companyCheck = 20 * time.Millisecond
)

// awaitCompany waits until others are known, from which the platform's objects may be read, or a little while.
func (e *Edge) awaitCompany(ctx context.Context) {
	for waited := time.Duration(0); waited < companyWait && len(e.peer.Members().Live()) <= 1; waited += companyCheck {
		e.pause(ctx, companyCheck)
	}
}
