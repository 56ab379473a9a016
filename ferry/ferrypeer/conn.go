package ferrypeer

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/jonboulle/clockwork"
)

const (
	outboxFrames      = 256
	outboxBytes       = 8 << 20
	writeTimeout      = 4 * time.Second
	dialTimeout       = 2 * time.Second
	compressFromBytes = 4 << 10
	// closeTimeout is how long a connection that ends may take to hand over what is queued; links take a few milliseconds, and a process
	// that stops must not wait for a peer that fell silent.
	closeTimeout = 400 * time.Millisecond
)

// conn is one authenticated connection, a link or one for asks; one goroutine reads it and one writes it.
type conn struct {
	id      LinkID
	purpose Purpose
	peer    Member
	tag     Tag
	ws      *websocket.Conn
	out     chan []byte
	bytes   atomic.Int64
	ctx     context.Context
	cancel  context.CancelFunc
	reason  atomic.Pointer[CloseReason]
	// reading ends the reads of a connection that has not ended by itself.
	reading     context.Context
	stopReading context.CancelFunc

	mu      sync.Mutex
	askID   uint64
	pending map[uint64]chan *Answer
	closed  bool
}

func newConn(ctx context.Context, ws *websocket.Conn, peer Member, purpose Purpose) *conn {
	c := &conn{
		purpose: purpose, peer: peer, tag: peer.Tag(), ws: ws,
		out: make(chan []byte, outboxFrames), pending: map[uint64]chan *Answer{},
	}
	// The connection outlives the node's context for as long as it takes to tell the peer why it ends.
	c.ctx, c.cancel = context.WithCancel(context.WithoutCancel(ctx))
	c.reading, c.stopReading = context.WithCancel(context.Background())
	return c
}

// put hands a frame to the writer and reports false when the outbox is full.
func (c *conn) put(frame []byte) bool {
	if c.bytes.Load() > outboxBytes {
		return false
	}
	select {
	case c.out <- frame:
		c.bytes.Add(int64(len(frame)))
		return true
	default:
		return false
	}
}

// end closes the connection for the given reason; the first reason stays.
func (c *conn) end(reason CloseReason) {
	c.reason.CompareAndSwap(nil, &reason)
	c.cancel()
}

// Handler serves GET /peer, by which other entries connect.
func (n *Node) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /peer", n.accept)
	return mux
}

func (n *Node) accept(w http.ResponseWriter, r *http.Request) {
	ctx := n.enter()
	if ctx == nil {
		http.Error(w, "not running", http.StatusServiceUnavailable)
		return
	}
	defer n.wg.Done()
	if n.cfg.TLS != nil && (r.TLS == nil || len(r.TLS.PeerCertificates) == 0) {
		n.counters.add(string(CloseUnauthenticated))
		http.Error(w, "a client certificate is needed", http.StatusUnauthorized)
		return
	}
	select {
	case n.hellos <- struct{}{}:
	default:
		n.counters.add(string(CloseFull))
		http.Error(w, "too many hellos at once", http.StatusServiceUnavailable)
		return
	}
	ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{
		CompressionMode: websocket.CompressionNoContextTakeover, CompressionThreshold: compressFromBytes,
	})
	if err != nil {
		<-n.hellos
		n.counters.add(string(CloseMalformed))
		return
	}
	s, err := n.acceptHello(ctx, ws)
	<-n.hellos
	if err != nil {
		n.refused(ws, err)
		return
	}
	n.serveAccepted(ctx, ws, s)
}

func (n *Node) serveAccepted(ctx context.Context, ws *websocket.Conn, s session) {
	c := newConn(ctx, ws, s.peer, s.purpose)
	if s.purpose == PurposeAsk {
		select {
		case n.askers <- struct{}{}:
			defer func() { <-n.askers }()
		default:
			n.refused(ws, &HelloError{Reason: CloseFull})
			return
		}
	}
	n.serve(c, LinkUp{Peer: s.peer, Topics: s.topics})
}

// refused counts and closes a connection whose hello failed.
func (n *Node) refused(ws *websocket.Conn, err error) {
	reason := reasonOf(err)
	n.counters.add(string(reason))
	n.cfg.Events.Add("PeerRefused", "", "%s: %v", reason, err)
	_ = ws.Close(websocket.StatusPolicyViolation, string(reason))
	_ = ws.CloseNow()
}

func reasonOf(err error) CloseReason {
	var hello *HelloError
	var malformed *MalformedError
	var version *VersionError
	var unknown *UnknownKindError
	switch {
	case errors.As(err, &hello):
		return hello.Reason
	case errors.As(err, &malformed), errors.As(err, &unknown):
		return CloseMalformed
	case errors.As(err, &version):
		return CloseVersion
	case errors.Is(err, context.DeadlineExceeded):
		return CloseSilent
	}
	return CloseUnreachable
}

// running returns the context of Run, or nil before and after it.
func (n *Node) running() context.Context {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ended {
		return nil
	}
	return n.ctx
}

// enter is running for a goroutine that Run is to wait for; unless it returns nil, the caller ends with n.wg.Done.
func (n *Node) enter() context.Context {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ended || n.ctx == nil {
		return nil
	}
	n.wg.Add(1)
	return n.ctx
}

// dialLink opens a link and serves it until it ends.
func (n *Node) dialLink(ctx context.Context, d Dial) {
	defer n.wg.Done()
	ws, s, err := n.dial(ctx, d.Address, PurposeLink, d)
	if err != nil {
		n.cfg.Log.Debug().Err(err).Str("address", d.Address).Msg("dial peer")
		n.post(DialFailed{Key: d.Key, Reason: reasonOf(err)})
		return
	}
	n.serve(newConn(ctx, ws, s.peer, PurposeLink), LinkUp{Peer: s.peer, Dialled: true, Key: d.Key, Topics: s.topics})
}

func (n *Node) dial(ctx context.Context, address string, p Purpose, d Dial) (*websocket.Conn, session, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, n.cfg.Clock, dialTimeout)
	defer cancel()
	scheme := "ws"
	if n.cfg.TLS != nil {
		scheme = "wss"
	}
	ws, _, err := websocket.Dial(ctx, fmt.Sprintf("%s://%s/peer", scheme, address), &websocket.DialOptions{
		HTTPClient: n.client, HTTPHeader: http.Header{"User-Agent": {"ferryd/" + string(n.cfg.Self.Name)}}, CompressionMode: websocket.CompressionNoContextTakeover, CompressionThreshold: compressFromBytes,
	})
	if err != nil {
		return nil, session{}, err
	}
	s, err := n.dialHello(ctx, ws, p, d.Expect)
	if err != nil {
		_ = ws.CloseNow()
		return nil, session{}, err
	}
	return ws, s, nil
}

// serve runs a connection until it ends.
func (n *Node) serve(c *conn, up LinkUp) {
	c.ws.SetReadLimit(MaxFrameBytes)
	n.register(c)
	if c.purpose == PurposeLink {
		up.Link = c.id
		n.post(up)
	}
	written := make(chan struct{})
	go func() {
		defer close(written)
		n.write(c)
	}()
	n.read(c)
	c.end(CloseUnreachable)
	<-written
	n.unregister(c)
	if c.purpose == PurposeLink {
		n.post(LinkDown{Link: c.id})
	}
}

func (n *Node) register(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nextID++
	c.id = n.nextID
	n.conns[c.id] = c
	if n.ended {
		c.end(CloseLeaving)
	}
	if c.purpose == PurposeLink {
		n.byTag[c.tag] = c
	}
}

func (n *Node) unregister(c *conn) {
	n.mu.Lock()
	delete(n.conns, c.id)
	if n.byTag[c.tag] == c {
		delete(n.byTag, c.tag)
	}
	if n.asks[c.tag] == c {
		delete(n.asks, c.tag)
	}
	n.mu.Unlock()
	c.failPending()
}

// write sends what is queued; after the end it still tries what was queued before, so that a leaving process is heard.
func (n *Node) write(c *conn) {
	for {
		select {
		case frame := <-c.out:
			if !n.writeFrame(c, frame) {
				_ = c.ws.CloseNow()
				return
			}
		case <-c.ctx.Done():
			n.writeRest(c)
			return
		}
	}
}

// writeRest sends what is queued, says why the connection ends, and waits a little for the peer to have heard it.
func (n *Node) writeRest(c *conn) {
	defer c.stopReading()
	heard := make(chan struct{})
	go func() {
		defer close(heard)
		if !n.writeQueued(c) {
			_ = c.ws.CloseNow()
			return
		}
		if r := c.reason.Load(); r != nil && *r != CloseSilent {
			_ = c.ws.Close(websocket.StatusNormalClosure, string(*r))
			return
		}
		_ = c.ws.CloseNow()
	}()
	select {
	case <-heard:
	case <-n.cfg.Clock.After(closeTimeout):
	}
}

// writeQueued reports whether all that was queued is written.
func (n *Node) writeQueued(c *conn) bool {
	for {
		select {
		case frame := <-c.out:
			if !n.writeFrame(c, frame) {
				return false
			}
		default:
			return true
		}
	}
}

func (n *Node) writeFrame(c *conn, frame []byte) bool {
	defer c.bytes.Add(-int64(len(frame)))
	ctx, cancel := clockwork.WithTimeout(context.Background(), n.cfg.Clock, writeTimeout)
	defer cancel()
	if err := c.ws.Write(ctx, websocket.MessageBinary, frame); err != nil {
		c.end(CloseUnreachable)
		return false
	}
	return true
}

// read ends when the writer has closed the connection; a read cancelled with the connection's context would close it before the rest is written.
func (n *Node) read(c *conn) {
	defer c.stopReading()
	for {
		typ, frame, err := c.ws.Read(c.reading)
		if err != nil {
			return
		}
		if typ != websocket.MessageBinary || !n.take(c, frame) {
			n.cutOff(c, CloseMalformed)
			return
		}
	}
}

func (n *Node) cutOff(c *conn, reason CloseReason) {
	n.counters.add(string(reason))
	n.cfg.Events.Add("PeerCutOff", string(c.peer.Name), "%s", reason)
	c.end(reason)
}

// take handles one frame and reports false if the peer is to be cut off.
func (n *Node) take(c *conn, frame []byte) bool {
	e, m, err := Decode(frame)
	var unknown *UnknownKindError
	switch {
	case errors.As(err, &unknown) && e.From == c.tag:
		n.counters.add("UnknownKinds")
		return true
	case err != nil || e.From != c.tag:
		return false
	}
	n.witness(e)
	switch m := m.(type) {
	case *Ask:
		n.answer(c, m)
	case *Answer:
		c.answered(m)
	case *Hello, *Proof:
		return false
	default:
		if c.purpose != PurposeLink {
			return false
		}
		n.post(Received{Link: c.id, Message: m})
	}
	return true
}

// witness moves the hybrid clock on, unless the peer's clock is far ahead.
func (n *Node) witness(e Envelope) {
	if e.Sent.Time().After(n.cfg.Clock.Now().Add(maxAhead)) {
		n.counters.add("ClockAhead")
		return
	}
	n.cfg.Events.Witness(e.Sent)
}

// send queues a message of the core. A link whose outbox is half full loses volatile items; one that is full is closed, and digests repair it later.
func (n *Node) send(a Send) {
	n.mu.Lock()
	c := n.conns[a.Link]
	n.mu.Unlock()
	if c == nil {
		return
	}
	if p, ok := a.Message.(*Push); ok && n.volatile[p.Topic] && len(c.out) > outboxFrames/2 {
		n.counters.add("VolatileDropped")
		return
	}
	n.enqueue(c, a.Message)
}

// enqueue encodes a message into a connection's outbox, and cuts the connection off if that is full.
func (n *Node) enqueue(c *conn, m Message) bool {
	frame, err := Encode(n.cfg.Self.Tag(), n.cfg.Events.Now(), m)
	if err != nil || len(frame) > MaxFrameBytes {
		n.counters.add("Unsendable")
		n.cfg.Log.Error().Err(err).Int("bytes", len(frame)).Msg("encode message to peer")
		return false
	}
	if !c.put(frame) {
		n.cutOff(c, CloseSlow)
		return false
	}
	return true
}

func (n *Node) closeConn(id LinkID, reason CloseReason) {
	n.mu.Lock()
	c := n.conns[id]
	n.mu.Unlock()
	if c != nil {
		c.end(reason)
	}
}

func (n *Node) closeAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ended = true
	for _, c := range n.conns {
		c.end(CloseLeaving)
	}
}

func (n *Node) queued() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	sum := 0
	for _, c := range n.conns {
		sum += int(c.bytes.Load())
	}
	return sum
}
