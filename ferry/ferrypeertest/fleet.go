package ferrypeertest

import (
	"container/heap"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"

	"cactusferry.dev/ferry/ferryevent"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypeer"
	"cactusferry.dev/ferry/ferryplatform"
)

const (
	tickInterval          = 100 * time.Millisecond
	listInterval          = 10 * time.Second
	latencyWithinDomain   = 200 * time.Microsecond
	latencyBetweenDomains = 500 * time.Microsecond
	dialTimeout           = 2 * time.Second
	frameOverhead         = 60
	ackOverhead           = 52
)

// Traffic counts the messages and bytes sent and received by a core, including headers and acknowledgements.
type Traffic struct {
	Messages uint64
	Bytes    uint64
}

// Core is one overlay core of a fleet.
type Core struct {
	Overlay  *ferrypeer.Overlay
	Member   ferrypeer.Member
	Topics   map[ferrypeer.TopicName]ferrypeer.Topic
	Traffic  Traffic
	ByKind   map[string]uint64
	Replaced bool

	fleet   *Fleet
	crashed bool
	frozen  bool
	queued  []ferrypeer.Input
	conns   map[ferrypeer.LinkID]*conn
}

type conn struct {
	id     ferrypeer.LinkID
	ends   [2]*Core
	silent bool
}

func (c *conn) other(of *Core) *Core {
	if c.ends[0] == of {
		return c.ends[1]
	}
	return c.ends[0]
}

// Fleet is a simulated set of connected cores; it is not safe for concurrent use.
type Fleet struct {
	// Clock is the simulated time; it is advanced by Run and RunUntil.
	Clock *clockwork.FakeClock
	// Events is a source of timestamps for topics.
	Events *ferryevent.Log
	// Measure enables the encoding of messages, which is needed to count their bytes.
	Measure bool
	// ListLag is the age of the instance list delivered to the cores; if it is negative, no list is delivered.
	ListLag time.Duration

	cores     map[ferryid.EntryName]*Core
	byAddress map[string]*Core
	partition map[ferryid.DomainName]int
	events    eventHeap
	seq       uint64
	nextID    ferrypeer.LinkID
	history   []instanceListing
}

type instanceListing struct {
	at        time.Time
	instances ferryplatform.Instances
}

// New returns an empty fleet whose clock starts at the given time.
func New(start time.Time) *Fleet {
	clock := clockwork.NewFakeClockAt(start)
	return &Fleet{
		Clock: clock, Events: ferryevent.NewLog(clock, "fleet", 1), ListLag: -1,
		cores: map[ferryid.EntryName]*Core{}, byAddress: map[string]*Core{}, partition: map[ferryid.DomainName]int{},
	}
}

// MemberOf returns a member with the given name, failure domain and incarnation, and addresses derived from the name.
func (f *Fleet) MemberOf(name, domain string, incarnation int) ferrypeer.Member {
	return ferrypeer.Member{
		Name: ferryid.EntryName(name), FailureDomain: ferryid.DomainName(domain),
		Incarnation: ferryid.Incarnation(fmt.Sprintf("%s-%032d", name, incarnation)),
		Started:     f.Events.Now(), PeerAddress: name + ":7400", CallerAddress: name + ":8400",
	}
}

// Add starts a core; it takes over its peer address from any previous core there.
func (f *Fleet) Add(m ferrypeer.Member, seeds []string, topics []ferrypeer.Topic) *Core {
	cfg := ferrypeer.OverlayConfig{Self: m, Seeds: seeds, Topics: topics}
	c := &Core{
		Overlay: ferrypeer.NewOverlay(cfg, f.Clock.Now()), Member: m, fleet: f,
		Topics: map[ferrypeer.TopicName]ferrypeer.Topic{}, conns: map[ferrypeer.LinkID]*conn{}, ByKind: map[string]uint64{},
	}
	for _, t := range topics {
		c.Topics[t.Name] = t
	}
	f.cores[m.Name] = c
	f.byAddress[m.PeerAddress] = c
	f.recordListing()
	f.nextID++
	phase := time.Duration(f.nextID*7919%100) * time.Millisecond
	f.schedule(phase, func() { f.tick(c) })
	f.schedule(phase, func() { f.deliverListing(c) })
	return c
}

// Core returns the running core with the given name, or nil.
func (f *Fleet) Core(name ferryid.EntryName) *Core { return f.cores[name] }

// Cores returns the running cores by name.
func (f *Fleet) Cores() map[ferryid.EntryName]*Core { return f.cores }

func (f *Fleet) recordListing() {
	var is ferryplatform.Instances
	for _, c := range f.cores {
		m := c.Member
		is = append(is, ferryplatform.Instance{
			Name: string(m.Name), Role: ferryplatform.RoleEntry, Address: m.CallerAddress, PeerAddress: m.PeerAddress,
			FailureDomain: m.FailureDomain, Incarnation: m.Incarnation, State: ferryplatform.StateLive,
		})
	}
	f.history = append(f.history, instanceListing{at: f.Clock.Now(), instances: is})
}

func (f *Fleet) deliverListing(c *Core) {
	if c.crashed {
		return
	}
	f.schedule(listInterval, func() { f.deliverListing(c) })
	if f.ListLag < 0 {
		return
	}
	asOf := f.Clock.Now().Add(-f.ListLag)
	for i := len(f.history) - 1; i >= 0; i-- {
		if !f.history[i].at.After(asOf) {
			c.step(ferrypeer.Listed{Instances: f.history[i].instances})
			return
		}
	}
}

func (f *Fleet) tick(c *Core) {
	if c.crashed {
		return
	}
	f.schedule(tickInterval, func() { f.tick(c) })
	if !c.frozen {
		c.step(ferrypeer.Tick{})
	}
}

// Step passes one input to the core and performs the resulting actions.
func (c *Core) Step(in ferrypeer.Input) { c.step(in) }

func (c *Core) step(in ferrypeer.Input) {
	switch {
	case c.crashed:
		return
	case c.frozen:
		if _, ok := in.(ferrypeer.Listed); !ok {
			c.queued = append(c.queued, in)
		}
		return
	}
	for _, a := range c.Overlay.Step(in, c.fleet.Clock.Now()) {
		c.fleet.perform(c, a)
	}
}

func (f *Fleet) perform(c *Core, a ferrypeer.Action) {
	switch a := a.(type) {
	case ferrypeer.Dial:
		f.dial(c, a)
	case ferrypeer.Send:
		f.send(c, a)
	case ferrypeer.CloseLink:
		f.closeConn(c, c.conns[a.Link])
	case ferrypeer.Replaced:
		c.Replaced = true
	}
}

// partitioned reports whether the failure domains of two cores are in different network partitions.
func (f *Fleet) partitioned(a, b *Core) bool {
	return f.partition[a.Member.FailureDomain] != f.partition[b.Member.FailureDomain]
}

func (f *Fleet) latency(a, b *Core) time.Duration {
	if a.Member.FailureDomain == b.Member.FailureDomain {
		return latencyWithinDomain
	}
	return latencyBetweenDomains
}

func (f *Fleet) dial(c *Core, d ferrypeer.Dial) {
	to := f.byAddress[d.Address]
	failed := func(after time.Duration, reason ferrypeer.CloseReason) {
		f.schedule(after, func() { c.step(ferrypeer.DialFailed{Key: d.Key, Reason: reason}) })
	}
	switch {
	case to == nil || to.crashed:
		failed(latencyBetweenDomains, ferrypeer.CloseUnreachable)
	case f.partitioned(c, to):
		failed(dialTimeout, ferrypeer.CloseUnreachable)
	case to.frozen:
		failed(dialTimeout, ferrypeer.CloseSilent)
	case d.Expect != "" && d.Expect != to.Member.Name:
		failed(2*f.latency(c, to), ferrypeer.CloseNotThere)
	default:
		f.connect(c, to, d)
	}
}

func (f *Fleet) connect(c, to *Core, d ferrypeer.Dial) {
	f.nextID++
	n := &conn{id: f.nextID, ends: [2]*Core{c, to}}
	f.schedule(2*f.latency(c, to), func() {
		if to.crashed || c.crashed {
			c.step(ferrypeer.DialFailed{Key: d.Key, Reason: ferrypeer.CloseUnreachable})
			return
		}
		c.conns[n.id], to.conns[n.id] = n, n
		cm, tm := c.Overlay.Self(), to.Overlay.Self()
		to.step(ferrypeer.LinkUp{Link: n.id, Peer: cm, Topics: c.Overlay.Topics()})
		c.step(ferrypeer.LinkUp{Link: n.id, Peer: tm, Dialled: true, Key: d.Key, Topics: to.Overlay.Topics()})
	})
}

func (f *Fleet) send(c *Core, a ferrypeer.Send) {
	n := c.conns[a.Link]
	if n == nil {
		return
	}
	size := f.size(c, a.Message)
	c.Traffic.Messages++
	c.Traffic.Bytes += size
	c.ByKind[kindOf(a.Message)] += size
	to := n.other(c)
	f.schedule(f.latency(c, to), func() {
		if n.silent || f.partitioned(c, to) || to.conns[a.Link] != n {
			return
		}
		to.Traffic.Messages++
		to.Traffic.Bytes += size
		to.step(ferrypeer.Received{Link: a.Link, Message: a.Message})
	})
}

func kindOf(m ferrypeer.Message) string {
	switch m := m.(type) {
	case *ferrypeer.Push:
		return fmt.Sprintf("Push %s", m.Topic)
	case *ferrypeer.Digest:
		return fmt.Sprintf("Digest %s", m.Topic)
	}
	return fmt.Sprintf("%T", m)
}

func (f *Fleet) size(c *Core, m ferrypeer.Message) uint64 {
	if !f.Measure {
		return 0
	}
	b, err := ferrypeer.Encode(c.Member.Tag(), f.Events.Now(), m)
	if err != nil {
		panic(err)
	}
	return uint64(len(b) + frameOverhead + ackOverhead)
}

// closeConn closes a connection at one end and resets it at the other, unless it is silent or partitioned.
func (f *Fleet) closeConn(c *Core, n *conn) {
	if n == nil {
		return
	}
	delete(c.conns, n.id)
	to := n.other(c)
	f.schedule(f.latency(c, to), func() {
		if to.conns[n.id] != n || n.silent || f.partitioned(c, to) {
			return
		}
		delete(to.conns, n.id)
		to.step(ferrypeer.LinkDown{Link: n.id})
	})
}

// Run advances the clock by d and runs the events that become due.
func (f *Fleet) Run(d time.Duration) {
	until := f.Clock.Now().Add(d)
	for len(f.events) > 0 && !f.events[0].at.After(until) {
		e := heap.Pop(&f.events).(event)
		f.Clock.Advance(e.at.Sub(f.Clock.Now()))
		e.do()
	}
	f.Clock.Advance(until.Sub(f.Clock.Now()))
}

// RunUntil advances the clock in steps until the condition holds or limit has passed.
// It returns the simulated time that passed and whether the condition holds.
func (f *Fleet) RunUntil(step, limit time.Duration, holds func() bool) (time.Duration, bool) {
	for took := time.Duration(0); took <= limit; took += step {
		if holds() {
			return took, true
		}
		f.Run(step)
	}
	return limit, false
}

func (f *Fleet) schedule(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.events, event{at: f.Clock.Now().Add(max(0, d)), seq: f.seq, do: do})
}

type event struct {
	at  time.Time
	seq uint64
	do  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	n := len(old) - 1
	e := old[n]
	old[n] = event{}
	*h = old[:n]
	return e
}
