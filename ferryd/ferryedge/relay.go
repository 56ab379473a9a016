package ferryedge

import (
	"context"
	"time"

	"cactusferry.dev/ferry/ferryduty"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypeer"
	"cactusferry.dev/ferry/ferryrelay"
)

// dutyReader is the duty of the entry that reads the platform's objects for its failure domain.
const dutyReader ferryduty.Duty = "reader"

func (e *Edge) newRelay() {
	e.relay = ferryrelay.New(ferryrelay.Config{
		Platform: e.cfg.Store, Clock: e.cfg.Steady, Log: e.cfg.Log, Scope: e.metrics.Scope, Reader: e.reader, Within: e.knownWithin, InForce: e.configInForce,
		// The overlay is created later, since its configuration contains the relay.
		Ask: func(ctx context.Context, name ferryid.EntryName, inc ferryid.Incarnation, kind ferrypeer.AskKind, body []byte) ([]byte, error) {
			return e.peer.Ask(ctx, name, inc, kind, body)
		},
	})
}

// knownWithin returns the time within which changes to a kind must be known; zero means no objective.
func (e *Edge) knownWithin(kind string) time.Duration {
	switch kind {
	case e.cfg.Objects.ConfigurationKind:
		return e.cfg.Objectives.ConfigWithin
	case e.cfg.Objects.UpstreamKind:
		return e.cfg.Objectives.LeaveWithin
	}
	return 0
}

// reader returns the entry to read the platform's objects from; false means that this
// entry reads them directly.
//
// It is the strongest usable entry of the failure domain that reaches the platform, or else of all entries. If
// there is none, the first of the failure domain keeps trying for the others.
func (e *Edge) reader() (ferryrelay.Reader, bool) {
	ms := e.peer.Members()
	near := ferryduty.StrongestFirst(ms, ferryduty.InDomain(ms, dutyReader, e.cfg.Domain))
	if name, ok := e.firstReader(ms, near); ok {
		return e.readFrom(ms, name)
	}
	if name, ok := e.firstReader(ms, ferryduty.Holders(ms, dutyReader, len(ms.List))); ok {
		return e.readFrom(ms, name)
	}
	if len(near) == 0 {
		return ferryrelay.Reader{}, false
	}
	return e.readFrom(ms, near[0])
}

// firstReader returns the first of the entries that is usable and reaches the platform.
func (e *Edge) firstReader(ms ferrypeer.Members, names []ferryid.EntryName) (ferryid.EntryName, bool) {
	for _, name := range names {
		if m, _ := ms.Get(name); e.usable(m) && e.reachesPlatform(name) {
			return name, true
		}
	}
	return "", false
}

func (e *Edge) readFrom(ms ferrypeer.Members, name ferryid.EntryName) (ferryrelay.Reader, bool) {
	m, ok := ms.Get(name)
	return ferryrelay.Reader{Name: name, Incarnation: m.Incarnation}, ok && name != e.cfg.Name
}

const (
	// peerWait is how long a starting entry waits for other entries before it reads from the platform
	// directly. Seeds answer within a few milliseconds.
	peerWait = 300 * time.Millisecond
	// firstPeerWait applies when the whole system starts for the first time, and settledAfter is how long no
	// further entry must have appeared then. The overlay takes a second to form, and callers come later.
	firstPeerWait     = 2 * time.Second
	settledAfter      = 200 * time.Millisecond
	peerCheckInterval = 20 * time.Millisecond
)

// awaitPeers waits until other entries are known, through which the platform's objects may
// be read.
func (e *Edge) awaitPeers(ctx context.Context) {
	most, settled := peerWait, time.Duration(0)
	if e.cfg.FirstStart {
		most, settled = firstPeerWait, settledAfter
	}
	known, unchanged := 0, time.Duration(0)
	for waited := time.Duration(0); waited < most; waited += peerCheckInterval {
		live := len(e.peer.Members().Live())
		if live != known {
			known, unchanged = live, 0
		}
		if known > 1 && unchanged >= settled {
			return
		}
		e.pause(ctx, peerCheckInterval)
		unchanged += peerCheckInterval
	}
}
