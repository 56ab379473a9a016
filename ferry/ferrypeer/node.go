package ferrypeer

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"cactusferry.dev/ferry/ferryevent"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryplatform"
	"cactusferry.dev/ferry/ferryring"
)

const (
	inboxSize      = 1024
	maxPublishing  = maxTopics
	listEvery      = 10 * time.Second
	listsPerSecond = 2
	listTimeout    = 5 * time.Second
	detailEvery    = 500 * time.Millisecond
	maxAnswering   = 64
	maxAskConns    = 16
	maxAskers      = 128
	maxHellos      = 256
	leavePollEvery = 20 * time.Millisecond
)

// Config is what a Node is made from.
type Config struct {
	// Self says who this process is; an empty Started is filled in by New.
	Self Member
	// Seeds are peer addresses (host:port) to turn to while the list or the membership shows nobody.
	Seeds []string
	Clock clockwork.Clock
	// TLS, if set, is used for connections to peers, and callers of Handler must have shown a certificate.
	TLS *tls.Config
	// Lister gives the instance list, or is nil.
	Lister ferryplatform.Lister
	// Dial opens connections to peers, or is nil for TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Secret is the key that this entry proves at hello.
	Secret []byte
	// OtherSecrets are further keys that a peer may prove, so that a key can be replaced entry by entry.
	OtherSecrets [][]byte
	Log          zerolog.Logger
	Events       *ferryevent.Log
	Topics       []Topic
	// Handlers answer the Asks of peers.
	Handlers map[AskKind]Handler
	// OnMembers, if set, is called with each new snapshot of the membership by the overlay's goroutine, and must not block.
	OnMembers func(Members)
}

// Handler answers one Ask; it may be called from many goroutines at once.
type Handler func(ctx context.Context, from Member, body []byte) ([]byte, error)

// Node is this process's part in the overlay: the core, its connections and the goroutines around them.
type Node struct {
	cfg      Config
	overlay  *Overlay
	volatile map[TopicName]bool
	client   *http.Client
	inbox    chan Input
	publish  *ferryring.Coalesce[TopicName, TopicName]
	members  atomic.Pointer[Members]
	self     atomic.Pointer[Member]
	links    atomic.Pointer[[]ferryid.EntryName]
	counters counters
	answers  chan struct{}
	askers   chan struct{}
	hellos   chan struct{}
	left     chan struct{}
	done     chan struct{}

	mu     sync.Mutex
	ctx    context.Context
	ended  bool
	nextID LinkID
	conns  map[LinkID]*conn
	byTag  map[Tag]*conn
	asks   map[Tag]*conn

	wg        sync.WaitGroup
	structure uint64
	detail    uint64
	detailAt  time.Time
}

// ReplacedError says that a later incarnation of this process's name has joined, so this one must end.
type ReplacedError struct {
	Name ferryid.EntryName
}

func (e *ReplacedError) Error() string {
	return fmt.Sprintf("a later incarnation of %s has joined", e.Name)
}

// New returns a node that does nothing until Run.
func New(cfg Config) *Node {
	if cfg.Self.Started == (ferryevent.Timestamp{}) {
		cfg.Self.Started = cfg.Events.Now()
	}
	n := &Node{
		cfg: cfg, inbox: make(chan Input, inboxSize), volatile: map[TopicName]bool{},
		publish:  ferryring.NewCoalesce[TopicName, TopicName](maxPublishing),
		counters: counters{counts: Counts{}},
		answers:  make(chan struct{}, maxAnswering), askers: make(chan struct{}, maxAskers), hellos: make(chan struct{}, maxHellos), left: make(chan struct{}), done: make(chan struct{}),
		conns: map[LinkID]*conn{}, byTag: map[Tag]*conn{}, asks: map[Tag]*conn{},
	}
	n.client = &http.Client{Transport: &http.Transport{TLSClientConfig: cfg.TLS, DialContext: cfg.Dial}}
	n.overlay = NewOverlay(OverlayConfig{Self: cfg.Self, Seeds: cfg.Seeds, Topics: cfg.Topics}, cfg.Clock.Now())
	for _, t := range n.overlay.topics {
		n.volatile[t.Name] = t.Volatile
	}
	n.show()
	return n
}

// Members returns the newest snapshot of the membership, at most half a second old in its loads.
func (n *Node) Members() Members { return *n.members.Load() }

// Self returns this process's own member record.
func (n *Node) Self() Member { return *n.self.Load() }

// Links returns the names of the peers linked now, ordered.
func (n *Node) Links() []ferryid.EntryName { return *n.links.Load() }

// Counts returns a copy of the counters since the start, at most half a second old.
func (n *Node) Counts() Counts { return n.counters.all() }

// SetState tells the others this process's state and load; the load is spread when it has moved by 50 thousandths, at a rate that falls with the number of members.
func (n *Node) SetState(s State, l Load) { n.post(SelfChanged{State: s, Load: l}) }

// Publish says that a topic has fresh items or a new digest; it never blocks.
func (n *Node) Publish(topic TopicName) { n.publish.Put(topic, topic) }

// post hands an input to the overlay's goroutine; it waits while the inbox is full, which slows reading from peers, and gives up when the node ends.
func (n *Node) post(in Input) {
	select {
	case n.inbox <- in:
	case <-n.done:
	}
}

// Run takes part in the overlay until the context ends, or returns a *ReplacedError; it may be called once.
func (n *Node) Run(ctx context.Context) error {
	if n.cfg.TLS == nil && len(n.cfg.Secret) == 0 {
		n.cfg.Log.Warn().Msg("peers are not authenticated: neither TLS nor a secret is set")
	}
	ctx, cancel := context.WithCancel(ctx)
	n.mu.Lock()
	n.ctx = ctx
	n.mu.Unlock()
	if n.cfg.Lister != nil {
		n.wg.Add(1)
		go n.watchList(ctx)
	}
	err := n.duty(ctx)
	cancel()
	close(n.done)
	n.closeAll()
	n.wg.Wait()
	n.client.CloseIdleConnections()
	return err
}

// duty alone owns the overlay's core.
func (n *Node) duty(ctx context.Context) error {
	ticker := n.cfg.Clock.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		var in Input = Tick{}
		var actions []Action
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
			actions = n.overlay.Step(in, n.cfg.Clock.Now())
		case in = <-n.inbox:
			actions = n.overlay.Step(in, n.cfg.Clock.Now())
		case <-n.publish.Ready():
			for _, t := range n.publish.Take() {
				actions = append(actions, n.overlay.Step(Published{Topic: t}, n.cfg.Clock.Now())...)
			}
		}
		for _, a := range actions {
			if err := n.act(ctx, a); err != nil {
				return err
			}
		}
		if _, ok := in.(Leaving); ok {
			close(n.left)
		}
		n.show()
	}
}

// show publishes a snapshot: at once when the structure changed, else twice a second.
func (n *Node) show() {
	structure, detail := n.overlay.Changes()
	now := n.cfg.Clock.Now()
	due := now.Sub(n.detailAt) >= detailEvery
	first := n.members.Load() == nil
	if due || first {
		self, links := n.overlay.Self(), n.overlay.Links()
		n.self.Store(&self)
		n.links.Store(&links)
		n.counters.set(n.overlay.Counts())
	}
	if !first && structure == n.structure && (!due || detail == n.detail) {
		return
	}
	n.structure, n.detail, n.detailAt = structure, detail, now
	ms := n.overlay.Members()
	n.members.Store(&ms)
	if n.cfg.OnMembers != nil {
		n.cfg.OnMembers(ms)
	}
}

func (n *Node) act(ctx context.Context, a Action) error {
	switch a := a.(type) {
	case Dial:
		n.wg.Add(1)
		go n.dialLink(ctx, a)
	case Send:
		n.send(a)
	case CloseLink:
		n.closeConn(a.Link, a.Reason)
	case Note:
		n.cfg.Events.Add(a.Kind, a.Subject, "%s", a.Detail)
	case Replaced:
		return &ReplacedError{Name: n.cfg.Self.Name}
	}
	return nil
}

// watchList brings the instance list now and then; while the platform is away the last one stays.
func (n *Node) watchList(ctx context.Context) {
	defer n.wg.Done()
	for reads := uint64(0); ; reads++ {
		n.readList(ctx)
		every := listInterval(n.liveCount())
		wait := every/2 + time.Duration(float64(every)*fraction(uint64(n.cfg.Self.Tag())^reads))
		select {
		case <-ctx.Done():
			return
		case <-n.cfg.Clock.After(wait):
		}
	}
}

// liveCount is the number of live members, or one while there is no link and so no view of the others.
func (n *Node) liveCount() int {
	if len(n.Links()) == 0 {
		return 1
	}
	return len(n.Members().Live())
}

// listInterval is the mean time between two reads of the instance list by one of the live members; all together read at most twice a second.
func listInterval(live int) time.Duration {
	return max(listEvery, time.Duration(live)*time.Second/listsPerSecond)
}

func (n *Node) readList(ctx context.Context) {
	ctx, cancel := clockwork.WithTimeout(ctx, n.cfg.Clock, listTimeout)
	defer cancel()
	is, err := n.cfg.Lister.Instances(ctx)
	if err != nil {
		n.counters.add("ListFailures")
		n.cfg.Log.Debug().Err(err).Msg("read instance list")
		return
	}
	n.post(Listed{Instances: is})
}

// Leave tells the peers that this process goes, and returns when that was written to the connections or the context ended; it is called once, and Run's context is ended afterwards.
func (n *Node) Leave(ctx context.Context) error {
	n.post(Leaving{})
	select {
	case <-n.left:
	case <-n.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
	for n.queued() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-n.done:
			return nil
		case <-n.cfg.Clock.After(leavePollEvery):
		}
	}
	return nil
}

// counters joins the core's counts with those of the connections.
type counters struct {
	mu     sync.Mutex
	core   Counts
	counts Counts
}

func (c *counters) add(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[name]++
}

func (c *counters) set(core Counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core = core
}

func (c *counters) all() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := Counts{}
	for _, from := range []Counts{c.core, c.counts} {
		for k, v := range from {
			out[k] += v
		}
	}
	return out
}
