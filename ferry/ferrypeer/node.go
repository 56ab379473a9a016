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
	"cactusferry.dev/ferry/ferryguard"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryplatform"
	"cactusferry.dev/ferry/ferryring"
	"cactusferry.dev/ferry/ferrystatus"
)

const (
	inboxSize            = 1024
	maxPublishedTopics   = maxTopics
	minListInterval      = 10 * time.Second
	maxHeaderBytes       = 64 << 10 // status line and headers of an answer
	listsPerSecond       = 2
	listTimeout          = 5 * time.Second
	snapshotInterval     = 500 * time.Millisecond
	maxConcurrentAnswers = 64
	maxOutboundAskConns  = 16
	maxInboundAskConns   = 128
	maxConcurrentHellos  = 256
	leavePollInterval    = 20 * time.Millisecond
)

// Config is the configuration of a Node.
type Config struct {
	// Self is the member record of this process; New sets Started if it is empty.
	Self Member
	// Seeds are peer addresses (host:port) to dial while neither the instance list nor the membership has peers.
	Seeds []string
	Clock clockwork.Clock
	// TLS, if set, is used for connections to peers, and Handler requires a client certificate.
	TLS *tls.Config
	// Lister is the source of the instance list; it is optional.
	Lister ferryplatform.Lister
	// Dial opens connections to peers; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Secret is the key that this entry uses for its proof.
	Secret []byte
	// OtherSecrets are further keys accepted in the proofs of peers, which allows key rotation entry by entry.
	OtherSecrets [][]byte
	Log          zerolog.Logger
	Events       *ferryevent.Log
	Topics       []Topic
	// Handlers serve the Asks of peers by kind.
	Handlers map[AskKind]Handler
	// OnMembers, if set, is called with each new snapshot of the membership.
	// It runs on the overlay's goroutine and must not block.
	OnMembers func(Members)
}

// Handler serves one Ask; it is called concurrently.
type Handler func(ctx context.Context, from Member, body []byte) ([]byte, error)

// Node runs the overlay core of this process and its connections.
type Node struct {
	guard           *ferryguard.Guard
	cfg             Config
	overlay         *Overlay
	volatile        map[TopicName]bool
	client          *http.Client
	inbox           chan Input
	published       *ferryring.Coalesce[TopicName, TopicName]
	members         atomic.Pointer[Members]
	self            atomic.Pointer[Member]
	links           atomic.Pointer[[]ferryid.EntryName]
	counters        counters
	answerSlots     chan struct{}
	inboundAskSlots chan struct{}
	helloSlots      chan struct{}
	leaveSent       chan struct{}
	done            chan struct{}

	mu       sync.Mutex
	ctx      context.Context
	ended    bool
	nextID   LinkID
	conns    map[LinkID]*conn
	byTag    map[Tag]*conn
	askConns map[Tag]*conn

	wg         sync.WaitGroup
	structure  uint64
	detail     uint64
	snapshotAt time.Time
}

// ReplacedError is returned by Run when a later incarnation of this process's name has joined, so that this one
// must stop.
type ReplacedError struct {
	Name ferryid.EntryName
}

func (e *ReplacedError) Error() string {
	return fmt.Sprintf("a later incarnation of %s has joined", e.Name)
}

// New returns a node; it is inactive until Run.
func New(cfg Config) *Node {
	if cfg.Self.Started == (ferryevent.Timestamp{}) {
		cfg.Self.Started = cfg.Events.Now()
	}
	n := &Node{
		cfg: cfg, inbox: make(chan Input, inboxSize), volatile: map[TopicName]bool{},
		published:   ferryring.NewCoalesce[TopicName, TopicName](maxPublishedTopics),
		counters:    counters{node: Counts{}},
		answerSlots: make(chan struct{}, maxConcurrentAnswers), inboundAskSlots: make(chan struct{}, maxInboundAskConns), helloSlots: make(chan struct{}, maxConcurrentHellos), leaveSent: make(chan struct{}), done: make(chan struct{}),
		conns: map[LinkID]*conn{}, byTag: map[Tag]*conn{}, askConns: map[Tag]*conn{},
	}
	n.guard = ferryguard.New(ferryguard.Config{Log: &n.cfg.Log, Clock: cfg.Clock})
	n.client = &http.Client{Transport: &ferrystatus.Transport{Base: &http.Transport{TLSClientConfig: cfg.TLS, DialContext: cfg.Dial, MaxResponseHeaderBytes: maxHeaderBytes}}}
	n.overlay = NewOverlay(OverlayConfig{Self: cfg.Self, Seeds: cfg.Seeds, Topics: cfg.Topics}, cfg.Clock.Now())
	for _, t := range n.overlay.topics {
		n.volatile[t.Name] = t.Volatile
	}
	n.publishSnapshot()
	return n
}

// Members returns the latest snapshot of the membership; its loads are at most half a second old.
func (n *Node) Members() Members { return *n.members.Load() }

// Self returns this process's own member record.
func (n *Node) Self() Member { return *n.self.Load() }

// Links returns the sorted names of the linked peers.
func (n *Node) Links() []ferryid.EntryName { return *n.links.Load() }

// Counts returns a copy of the counters since the start, at most half a second old.
func (n *Node) Counts() Counts { return n.counters.total() }

// SetState publishes the state and load of this process.
//
// The load is published after a change of at least 50 thousandths, at a rate that falls with the number of members.
func (n *Node) SetState(s State, l Load) { n.post(SelfChanged{State: s, Load: l}) }

// Publish notifies the overlay that a topic has changed items or a new digest; it never blocks.
func (n *Node) Publish(topic TopicName) { n.published.Put(topic, topic) }

// post passes an input to the overlay's goroutine.
// It blocks while the inbox is full, as back-pressure on peers, and returns when the node ends.
func (n *Node) post(in Input) {
	select {
	case n.inbox <- in:
	case <-n.done:
	}
}

// Run participates in the overlay until the context ends or it returns a *ReplacedError; it may be called once.
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
		go n.pollInstances(ctx)
	}
	var err error
	// The core cannot be built again while its connections are open.
	if panicked := n.guard.Run("overlay", "", func() { err = n.runCore(ctx) }); panicked != nil {
		err = panicked
	}
	cancel()
	close(n.done)
	n.closeAll()
	n.wg.Wait()
	n.client.CloseIdleConnections()
	return err
}

// runCore is the only goroutine that accesses the overlay core.
func (n *Node) runCore(ctx context.Context) error {
	ticker := n.cfg.Clock.NewTicker(tickInterval)
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
		case <-n.published.Ready():
			for _, t := range n.published.Take() {
				actions = append(actions, n.overlay.Step(Published{Topic: t}, n.cfg.Clock.Now())...)
			}
		}
		for _, a := range actions {
			if err := n.perform(ctx, a); err != nil {
				return err
			}
		}
		if _, ok := in.(Leaving); ok {
			close(n.leaveSent)
		}
		n.publishSnapshot()
	}
}

// publishSnapshot stores a new snapshot: at once after a structural change, otherwise every snapshotInterval.
func (n *Node) publishSnapshot() {
	structure, detail := n.overlay.Changes()
	now := n.cfg.Clock.Now()
	due := now.Sub(n.snapshotAt) >= snapshotInterval
	first := n.members.Load() == nil
	if due || first {
		self, links := n.overlay.Self(), n.overlay.Links()
		n.self.Store(&self)
		n.links.Store(&links)
		n.counters.setCore(n.overlay.Counts())
	}
	if !first && structure == n.structure && (!due || detail == n.detail) {
		return
	}
	n.structure, n.detail, n.snapshotAt = structure, detail, now
	ms := n.overlay.Members()
	n.members.Store(&ms)
	if n.cfg.OnMembers != nil {
		n.cfg.OnMembers(ms)
	}
}

func (n *Node) perform(ctx context.Context, a Action) error {
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

// pollInstances reads the instance list periodically; the last list is kept while the platform is unavailable.
func (n *Node) pollInstances(ctx context.Context) {
	defer n.wg.Done()
	for reads := uint64(0); ; reads++ {
		n.readInstances(ctx)
		interval := listInterval(n.liveCount())
		wait := interval/2 + time.Duration(float64(interval)*fraction(uint64(n.cfg.Self.Tag())^reads))
		select {
		case <-ctx.Done():
			return
		case <-n.cfg.Clock.After(wait):
		}
	}
}

// liveCount returns the number of live members, or one while there is no link and thus no current membership.
func (n *Node) liveCount() int {
	if len(n.Links()) == 0 {
		return 1
	}
	return len(n.Members().Live())
}

// listInterval returns the mean interval between two reads of the instance list by one member.
// All live members together read it at most listsPerSecond times a second.
func listInterval(live int) time.Duration {
	return max(minListInterval, time.Duration(live)*time.Second/listsPerSecond)
}

func (n *Node) readInstances(ctx context.Context) {
	ctx, cancel := clockwork.WithTimeout(ctx, n.cfg.Clock, listTimeout)
	defer cancel()
	is, err := n.cfg.Lister.Instances(ctx)
	if err != nil {
		n.counters.increment("ListFailures")
		n.cfg.Log.Debug().Err(err).Msg("failed to read the instance list")
		return
	}
	n.post(Listed{Instances: is})
}

// Leave announces the planned stop to the peers and returns when it was written to the connections or ctx ended.
//
// It must be called at most once, before the context of Run ends.
func (n *Node) Leave(ctx context.Context) error {
	n.post(Leaving{})
	select {
	case <-n.leaveSent:
	case <-n.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
	for n.queuedBytes() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-n.done:
			return nil
		case <-n.cfg.Clock.After(leavePollInterval):
		}
	}
	return nil
}

// counters combines the counters of the core with those of the connections.
type counters struct {
	mu   sync.Mutex
	core Counts
	node Counts
}

func (c *counters) increment(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.node[name]++
}

func (c *counters) setCore(core Counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.core = core
}

func (c *counters) total() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := Counts{}
	for _, from := range []Counts{c.core, c.node} {
		for k, v := range from {
			out[k] += v
		}
	}
	return out
}
