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
	// closeTimeout bounds the flush of queued frames when a connection is closed. A flush normally takes a few
	// milliseconds, and a stopping process must not wait for an unresponsive peer.
	closeTimeout = 400 * time.Millisecond
)

// conn is an authenticated connection, either a link or one for asks, with one reader and one writer goroutine.
type conn struct {
	id          LinkID
	purpose     Purpose
	peer        Member
	tag         Tag
	ws          *websocket.Conn
	out         chan []byte
	queuedBytes atomic.Int64
	ctx         context.Context
	cancel      context.CancelFunc
	reason      atomic.Pointer[CloseReason]
	// readCtx is cancelled by the writer to unblock a pending read.
	readCtx    context.Context
	cancelRead context.CancelFunc

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
	// The connection outlives the node's context until the close reason has been sent to the peer.
	c.ctx, c.cancel = context.WithCancel(context.WithoutCancel(ctx))
	c.readCtx, c.cancelRead = context.WithCancel(context.Background())
	return c
}

// tryEnqueue queues a frame for the writer and reports false if the outbox is full.
func (c *conn) tryEnqueue(frame []byte) bool {
	if c.queuedBytes.Load() > outboxBytes {
		return false
	}
	select {
	case c.out <- frame:
		c.queuedBytes.Add(int64(len(frame)))
		return true
	default:
		return false
	}
}

// shutdown closes the connection; only the reason of the first call is kept.
func (c *conn) shutdown(reason CloseReason) {
	c.reason.CompareAndSwap(nil, &reason)
	c.cancel()
}

// Handler serves GET /peer, the endpoint that other entries connect to.
func (n *Node) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /peer", n.accept)
	return mux
}

func (n *Node) accept(w http.ResponseWriter, r *http.Request) {
	ctx := n.acquireRunContext()
	if ctx == nil {
		http.Error(w, "not running", http.StatusServiceUnavailable)
		return
	}
	defer n.wg.Done()
	if n.cfg.TLS != nil && (r.TLS == nil || len(r.TLS.PeerCertificates) == 0) {
		n.counters.increment(string(CloseUnauthenticated))
		http.Error(w, "a client certificate is needed", http.StatusUnauthorized)
		return
	}
	select {
	case n.helloSlots <- struct{}{}:
	default:
		n.counters.increment(string(CloseFull))
		http.Error(w, "too many hellos at once", http.StatusServiceUnavailable)
		return
	}
	ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{
		CompressionMode: websocket.CompressionNoContextTakeover, CompressionThreshold: compressFromBytes,
	})
	if err != nil {
		<-n.helloSlots
		n.counters.increment(string(CloseMalformed))
		return
	}
	s, err := n.acceptHello(ctx, ws)
	<-n.helloSlots
	if err != nil {
		n.rejectConn(ws, err)
		return
	}
	n.serveAccepted(ctx, ws, s)
}

func (n *Node) serveAccepted(ctx context.Context, ws *websocket.Conn, s session) {
	c := newConn(ctx, ws, s.peer, s.purpose)
	if s.purpose == PurposeAsk {
		select {
		case n.inboundAskSlots <- struct{}{}:
			defer func() { <-n.inboundAskSlots }()
		default:
			n.rejectConn(ws, &HelloError{Reason: CloseFull})
			return
		}
	}
	n.serve(c, LinkUp{Peer: s.peer, Topics: s.topics})
}

// rejectConn counts and closes a connection whose handshake failed.
func (n *Node) rejectConn(ws *websocket.Conn, err error) {
	reason := reasonOf(err)
	n.counters.increment(string(reason))
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

// runContext returns the context of Run, or nil if Run has not started or has ended.
func (n *Node) runContext() context.Context {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ended {
		return nil
	}
	return n.ctx
}

// acquireRunContext returns runContext and registers the caller with n.wg, so that Run waits for it.
// Unless the result is nil, the caller must call n.wg.Done.
func (n *Node) acquireRunContext() context.Context {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ended || n.ctx == nil {
		return nil
	}
	n.wg.Add(1)
	return n.ctx
}

// dialLink opens a link and serves it until it is closed.
func (n *Node) dialLink(ctx context.Context, d Dial) {
	defer n.wg.Done()
	ws, s, err := n.dial(ctx, d.Address, PurposeLink, d)
	if err != nil {
		n.cfg.Log.Debug().Err(err).Str("address", d.Address).Msg("failed to dial peer")
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

// serve reads and writes a connection until it is closed.
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
		n.writeLoop(c)
	}()
	n.readLoop(c)
	c.shutdown(CloseUnreachable)
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
		c.shutdown(CloseLeaving)
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
	if n.askConns[c.tag] == c {
		delete(n.askConns, c.tag)
	}
	n.mu.Unlock()
	c.failPending()
}

// writeLoop writes queued frames until the connection is closed.
// It then flushes the queue, so that the Left record of a leaving process reaches its peers.
func (n *Node) writeLoop(c *conn) {
	for {
		select {
		case frame := <-c.out:
			if !n.writeFrame(c, frame) {
				_ = c.ws.CloseNow()
				return
			}
		case <-c.ctx.Done():
			n.flushAndClose(c)
			return
		}
	}
}

// flushAndClose flushes the queue and closes the WebSocket with the close reason, within closeTimeout.
func (n *Node) flushAndClose(c *conn) {
	defer c.cancelRead()
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		if !n.drainOutbox(c) {
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
	case <-closed:
	case <-n.cfg.Clock.After(closeTimeout):
	}
}

// drainOutbox writes all queued frames and reports whether every write succeeded.
func (n *Node) drainOutbox(c *conn) bool {
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
	defer c.queuedBytes.Add(-int64(len(frame)))
	ctx, cancel := clockwork.WithTimeout(context.Background(), n.cfg.Clock, writeTimeout)
	defer cancel()
	if err := c.ws.Write(ctx, websocket.MessageBinary, frame); err != nil {
		c.shutdown(CloseUnreachable)
		return false
	}
	return true
}

// readLoop ends when the writer has closed the connection. Reads do not use the connection's context:
// cancelling a read closes the WebSocket before the queue is flushed.
func (n *Node) readLoop(c *conn) {
	defer c.cancelRead()
	for {
		typ, frame, err := c.ws.Read(c.readCtx)
		if err != nil {
			return
		}
		accepted := false
		err = n.guard.Run("peer connection", string(c.peer.Name), func() {
			accepted = typ == websocket.MessageBinary && n.handleFrame(c, frame)
		})
		if err != nil || !accepted {
			n.disconnect(c, CloseMalformed)
			return
		}
	}
}

func (n *Node) disconnect(c *conn, reason CloseReason) {
	n.counters.increment(string(reason))
	n.cfg.Events.Add("PeerCutOff", string(c.peer.Name), "%s", reason)
	c.shutdown(reason)
}

// handleFrame processes one frame and reports false if the peer must be disconnected.
func (n *Node) handleFrame(c *conn, frame []byte) bool {
	e, m, err := Decode(frame)
	var unknown *UnknownKindError
	switch {
	case errors.As(err, &unknown) && e.From == c.tag:
		n.counters.increment("UnknownKinds")
		return true
	case err != nil || e.From != c.tag:
		return false
	}
	n.advanceClock(e)
	switch m := m.(type) {
	case *Ask:
		n.serveAsk(c, m)
	case *Answer:
		c.deliverAnswer(m)
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

// advanceClock advances the hybrid logical clock to the timestamp of a message,
// unless the peer's clock is ahead by more than maxClockSkew.
func (n *Node) advanceClock(e Envelope) {
	if e.Sent.Time().After(n.cfg.Clock.Now().Add(maxClockSkew)) {
		n.counters.increment("ClockAhead")
		return
	}
	n.cfg.Events.Witness(e.Sent)
}

// send queues a message of the core. Volatile items are dropped if the outbox of the link is half full.
// A link with a full outbox is closed; digests repair the missing items later.
func (n *Node) send(a Send) {
	n.mu.Lock()
	c := n.conns[a.Link]
	n.mu.Unlock()
	if c == nil {
		return
	}
	if p, ok := a.Message.(*Push); ok && n.volatile[p.Topic] && len(c.out) > outboxFrames/2 {
		n.counters.increment("VolatileDropped")
		return
	}
	n.enqueue(c, a.Message)
}

// enqueue encodes a message and queues it; a connection with a full outbox is closed.
func (n *Node) enqueue(c *conn, m Message) bool {
	frame, err := Encode(n.cfg.Self.Tag(), n.cfg.Events.Now(), m)
	if err != nil || len(frame) > MaxFrameBytes {
		n.counters.increment("Unsendable")
		n.cfg.Log.Error().Err(err).Int("bytes", len(frame)).Msg("message to peer not sent: encoding failed or frame larger than 2 MiB")
		return false
	}
	if !c.tryEnqueue(frame) {
		n.disconnect(c, CloseSlow)
		return false
	}
	return true
}

func (n *Node) closeConn(id LinkID, reason CloseReason) {
	n.mu.Lock()
	c := n.conns[id]
	n.mu.Unlock()
	if c != nil {
		c.shutdown(reason)
	}
}

func (n *Node) closeAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ended = true
	for _, c := range n.conns {
		c.shutdown(CloseLeaving)
	}
}

func (n *Node) queuedBytes() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	sum := 0
	for _, c := range n.conns {
		sum += int(c.queuedBytes.Load())
	}
	return sum
}
