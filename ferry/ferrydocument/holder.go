package ferrydocument

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"cactusferry.dev/ferry/ferryevent"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryservice"
)

const (
	// maxServices bounds the documents of one holder. Subscription rings have the same capacity, so that they
	// never drop a service.
	maxServices = 4096
	// maxAlarms bounds the alarms remembered for deduplication.
	maxAlarms = 256
	// maxHistoryBytes bounds the earlier texts kept per service for three-way diffs.
	maxHistoryBytes = 256 << 10
)

// Kinds of events that this package adds to the time line.
const (
	EventTaken           = "DocumentTaken"
	EventForked          = "DocumentForked"
	EventInvalid         = "DocumentInvalid"
	EventFull            = "DocumentsFull"
	EventStoreRolledBack = "DocumentStoreBack"
	EventRepaired        = "DocumentRepaired"
	EventAccepted        = "DocumentAccepted"
	EventLostRace        = "DocumentLostRace"
)

// InForce is an accepted document that is in force in this process; it is immutable once published.
type InForce struct {
	Accepted ferryservice.Accepted
	Document ferryservice.Document
	Hash     string
	Since    time.Time
	// From is the source of the document, such as "store", "apply" or a peer's name.
	From string

	customers ferryservice.CustomerIndex
	// previous is the delta from the version that was in force before, for peers that still have that version.
	previous *cachedDelta
}

// Customer returns the customer of the service with the given API key.
func (f *InForce) Customer(key string) (ferryservice.Customer, bool) {
	return f.customers.Customer(key)
}

type inForceMap map[ferryid.ServiceName]*InForce

// Holder keeps the document of each service that is in force in this process.
type Holder struct {
	clock   clockwork.Clock
	events  *ferryevent.Log
	current atomic.Pointer[inForceMap]

	mu          sync.Mutex
	history     map[ferryid.ServiceName][]ferryservice.Accepted
	alarms      []string
	subscribers map[*Subscription]struct{}
}

// NewHolder returns an empty holder that adds its events to the log, or to a small log of its
// own if events is nil.
func NewHolder(clock clockwork.Clock, events *ferryevent.Log) *Holder {
	if events == nil {
		events = ferryevent.NewLog(clock, "", maxAlarms)
	}
	h := &Holder{
		clock:       clock,
		events:      events,
		history:     map[ferryid.ServiceName][]ferryservice.Accepted{},
		subscribers: map[*Subscription]struct{}{},
	}
	h.current.Store(&inForceMap{})
	return h
}

// Get returns the document in force for a service; it takes no lock and does not allocate.
func (h *Holder) Get(service ferryid.ServiceName) (*InForce, bool) {
	f, ok := (*h.current.Load())[service]
	return f, ok
}

// Len returns the number of services with a document in force.
func (h *Holder) Len() int {
	return len(*h.current.Load())
}

// All returns the documents in force, sorted by service name.
func (h *Holder) All() []*InForce {
	m := *h.current.Load()
	out := slices.Collect(maps.Values(m))
	slices.SortFunc(out, func(a, b *InForce) int { return cmp.Compare(a.Accepted.Service, b.Accepted.Service) })
	return out
}

// Offer puts a document in force if it is a later version of the one in force, and returns what it did.
func (h *Holder) Offer(a ferryservice.Accepted, source string) Verdict {
	return h.offer(a, source, &cachedDelta{})
}

// offer is Offer with the delta that the document was received as, which peers can be sent again.
func (h *Holder) offer(a ferryservice.Accepted, source string, delta *cachedDelta) Verdict {
	held, _ := h.Get(a.Service)
	if held != nil && sameVersion(held.Accepted, a) {
		return Same
	}
	hash := a.Hash()
	if v := compare(held, a, hash); v != Taken {
		h.report(v, a, hash, source)
		return v
	}
	d, err := a.Checked()
	if err != nil {
		h.alarm(EventInvalid, a, hash, source, err.Error())
		return Invalid
	}
	f := &InForce{Accepted: a, Document: d, Hash: hash, Since: h.clock.Now(), From: source, customers: d.Customers.Index()}
	return h.publish(f, delta)
}

// sameVersion reports whether two versions are the same, without computing a hash.
func sameVersion(held, a ferryservice.Accepted) bool {
	return a.Generation == held.Generation && a.PreviousHash == held.PreviousHash && a.ApplyID == held.ApplyID &&
		a.Source == held.Source && slices.Equal(a.Supersedes, held.Supersedes)
}

// publish publishes a document unless a concurrent offer was published first.
func (h *Holder) publish(f *InForce, delta *cachedDelta) Verdict {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := *h.current.Load()
	held := old[f.Accepted.Service]
	v := compare(held, f.Accepted, f.Hash)
	if v == Taken && held == nil && len(old) >= maxServices {
		v = Full
	}
	if v != Taken {
		h.reportLocked(v, f.Accepted, f.Hash, f.From)
		return v
	}
	if held != nil && held.Hash != delta.base {
		delta = &cachedDelta{base: held.Hash, text: held.Accepted.Source}
	}
	f.previous = delta
	next := maps.Clone(old)
	next[f.Accepted.Service] = f
	h.current.Store(&next)
	h.addToHistory(f.Accepted)
	for s := range h.subscribers {
		s.ring.Put(f.Accepted.Service, f)
	}
	h.events.Add(EventTaken, string(f.Accepted.Service), "generation %d hash %.12s from %s", f.Accepted.Generation, f.Hash, f.From)
	return Taken
}

// addToHistory stores a version for three-way diffs and evicts the oldest above maxHistoryBytes.
func (h *Holder) addToHistory(a ferryservice.Accepted) {
	list := append(h.history[a.Service], a)
	size := 0
	for i := len(list) - 1; i >= 0; i-- {
		size += len(list[i].Source)
		if size > maxHistoryBytes && i < len(list)-1 {
			list = slices.Clone(list[i+1:])
			break
		}
	}
	h.history[a.Service] = list
}

// Version returns an earlier or the current version of a document, if it was in force here and
// is still in the history.
func (h *Holder) Version(service ferryid.ServiceName, g ferryid.Generation) (ferryservice.Accepted, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, a := range h.history[service] {
		if a.Generation == g {
			return a, true
		}
	}
	return ferryservice.Accepted{}, false
}

func (h *Holder) report(v Verdict, a ferryservice.Accepted, hash, source string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reportLocked(v, a, hash, source)
}

func (h *Holder) reportLocked(v Verdict, a ferryservice.Accepted, hash, source string) {
	switch v {
	case Forked:
		h.alarmLocked(EventForked, a, hash, source, "another branch than the one in force; apply with the hash to supersede")
	case Full:
		h.alarmLocked(EventFull, a, hash, source, "no room for another service")
	}
}

func (h *Holder) alarm(kind string, a ferryservice.Accepted, hash, source, text string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.alarmLocked(kind, a, hash, source, text)
}

// alarmLocked adds an event, once per kind and version.
func (h *Holder) alarmLocked(kind string, a ferryservice.Accepted, hash, source, text string) {
	key := kind + hash
	if slices.Contains(h.alarms, key) {
		return
	}
	h.alarms = append(h.alarms, key)
	if len(h.alarms) > maxAlarms {
		h.alarms = slices.Delete(h.alarms, 0, 1)
	}
	h.events.Add(kind, string(a.Service), "generation %d hash %.12s from %s: %s", a.Generation, hash, source, text)
}
