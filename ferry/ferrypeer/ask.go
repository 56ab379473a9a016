package ferrypeer

import (
	"context"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"

	"cactusferry.dev/ferry/ferryid"
)

const (
	// MaxAskBytes is the maximum size in bytes of the body of an Ask and of its answer.
	MaxAskBytes    = 1 << 20
	askIdleTimeout = 30 * time.Second
)

// UnreachableError is returned when an Ask could not be sent to an incarnation or was not answered.
type UnreachableError struct {
	Name        ferryid.EntryName
	Incarnation ferryid.Incarnation
	// Sent is set if the peer may have received the request.
	Sent bool
	Err  error
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("peer %s (%s) unreachable: %v", e.Name, e.Incarnation, e.Err)
}

func (e *UnreachableError) Unwrap() error { return e.Err }

// GoneError is returned when the requested incarnation has left or was replaced by a later one of the same name.
type GoneError struct {
	Name        ferryid.EntryName
	Incarnation ferryid.Incarnation
}

func (e *GoneError) Error() string {
	return fmt.Sprintf("peer %s (%s) is gone", e.Name, e.Incarnation)
}

// RefusedError is returned when the peer did not serve an Ask, or when the Ask was too large to be sent.
type RefusedError struct {
	Name   ferryid.EntryName
	Status AnswerStatus
	Detail string
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("peer %s refused to answer (status %d): %s", e.Name, e.Status, e.Detail)
}

// Ask sends a request to one incarnation of an entry and waits for the answer.
//
// It uses the link to the entry if there is one, otherwise a connection opened on demand.
// The error is an *UnreachableError, a *GoneError or a *RefusedError.
func (n *Node) Ask(ctx context.Context, name ferryid.EntryName, inc ferryid.Incarnation, kind AskKind, body []byte) ([]byte, error) {
	if len(body) > MaxAskBytes {
		return nil, &RefusedError{Name: name, Detail: fmt.Sprintf("request of %d bytes", len(body))}
	}
	m, ok := n.Members().Get(name)
	switch {
	case !ok:
		return nil, &UnreachableError{Name: name, Incarnation: inc, Err: fmt.Errorf("not a known member")}
	case m.Incarnation != inc, m.Status == Left:
		return nil, &GoneError{Name: name, Incarnation: inc}
	}
	c, err := n.connTo(ctx, m.Member)
	if err != nil {
		return nil, &UnreachableError{Name: name, Incarnation: inc, Err: err}
	}
	return n.askOver(ctx, c, kind, body)
}

func (n *Node) askOver(ctx context.Context, c *conn, kind AskKind, body []byte) ([]byte, error) {
	unreachable := func(sent bool, err error) error {
		return &UnreachableError{Name: c.peer.Name, Incarnation: c.peer.Incarnation, Sent: sent, Err: err}
	}
	id, answer := c.addPending()
	if answer == nil {
		return nil, unreachable(false, fmt.Errorf("connection closed"))
	}
	defer c.removePending(id)
	if !n.enqueue(c, &Ask{ID: id, To: c.tag, Kind: kind, Body: body}) {
		return nil, unreachable(false, fmt.Errorf("connection is full"))
	}
	select {
	case <-ctx.Done():
		return nil, unreachable(true, ctx.Err())
	case a, ok := <-answer:
		if !ok {
			return nil, unreachable(true, fmt.Errorf("connection closed before the answer"))
		}
		return c.answerResult(a)
	}
}

func (c *conn) answerResult(a *Answer) ([]byte, error) {
	switch a.Status {
	case AnswerOK:
		return a.Body, nil
	case AnswerNotThere:
		return nil, &GoneError{Name: c.peer.Name, Incarnation: c.peer.Incarnation}
	}
	return nil, &RefusedError{Name: c.peer.Name, Status: a.Status, Detail: string(a.Body)}
}

// connTo returns a connection to an incarnation: its link, a pooled connection, or a new one if the pool has room.
func (n *Node) connTo(ctx context.Context, m Member) (*conn, error) {
	tag := m.Tag()
	if c := n.existingConn(tag); c != nil {
		return c, nil
	}
	runCtx := n.runContext()
	if runCtx == nil {
		return nil, fmt.Errorf("not running")
	}
	ws, s, err := n.dial(ctx, m.PeerAddress, PurposeAsk, Dial{Expect: m.Name})
	if err != nil {
		return nil, merry.Prepend(err, "dial")
	}
	if s.peer.Tag() != tag {
		_ = ws.CloseNow()
		return nil, fmt.Errorf("incarnation %s answers there", s.peer.Incarnation)
	}
	c := newConn(runCtx, ws, s.peer, PurposeAsk)
	pooled := n.addToPool(c)
	if pooled != c {
		_ = ws.CloseNow()
		c.cancel()
	}
	if pooled == nil {
		return nil, fmt.Errorf("all %d connections for asks are in use", maxOutboundAskConns)
	}
	return pooled, nil
}

func (n *Node) existingConn(tag Tag) *conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c := n.byTag[tag]; c != nil {
		return c
	}
	return n.askConns[tag]
}

// addToPool adds a new connection for asks to the pool and serves it.
// It returns the pooled connection if another was opened concurrently, and nil if the pool is full.
func (n *Node) addToPool(c *conn) *conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	if old := n.askConns[c.tag]; old != nil {
		return old
	}
	if n.ended || (len(n.askConns) >= maxOutboundAskConns && !n.evictIdleAskConn()) {
		return nil
	}
	n.askConns[c.tag] = c
	n.wg.Add(2)
	go func() {
		defer n.wg.Done()
		n.serve(c, LinkUp{})
	}()
	go n.closeWhenIdle(c)
	return c
}

// evictIdleAskConn closes a pooled connection without pending asks to make room; the caller holds n.mu.
func (n *Node) evictIdleAskConn() bool {
	for tag, c := range n.askConns {
		if c.idle() {
			delete(n.askConns, tag)
			c.shutdown(CloseUnwanted)
			return true
		}
	}
	return false
}

func (n *Node) closeWhenIdle(c *conn) {
	defer n.wg.Done()
	ticker := n.cfg.Clock.NewTicker(askIdleTimeout)
	defer ticker.Stop()
	lastAskID := uint64(0)
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-ticker.Chan():
		}
		c.mu.Lock()
		used, idle := c.askID != lastAskID, len(c.pending) == 0
		lastAskID = c.askID
		c.mu.Unlock()
		if idle && !used {
			c.shutdown(CloseUnwanted)
			return
		}
	}
}

func (c *conn) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending) == 0
}

// addPending registers a new ask and returns its ID and answer channel, which is nil if the connection is closed.
func (c *conn) addPending() (uint64, chan *Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, nil
	}
	c.askID++
	ch := make(chan *Answer, 1)
	c.pending[c.askID] = ch
	return c.askID, ch
}

func (c *conn) removePending(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

func (c *conn) deliverAnswer(a *Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ch := c.pending[a.ID]; ch != nil {
		delete(c.pending, a.ID)
		ch <- a
	}
}

func (c *conn) failPending() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for id, ch := range c.pending {
		delete(c.pending, id)
		close(ch)
	}
}

// serveAsk runs the handler of an Ask in a new goroutine if a slot is free, and answers AnswerBusy otherwise.
func (n *Node) serveAsk(c *conn, m *Ask) {
	h := n.cfg.Handlers[m.Kind]
	switch {
	case m.To != n.cfg.Self.Tag():
		n.enqueue(c, &Answer{ID: m.ID, Status: AnswerNotThere})
		return
	case h == nil:
		n.enqueue(c, &Answer{ID: m.ID, Status: AnswerUnknownKind})
		return
	}
	select {
	case n.answerSlots <- struct{}{}:
	default:
		n.counters.increment("AsksBusy")
		n.enqueue(c, &Answer{ID: m.ID, Status: AnswerBusy})
		return
	}
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		defer func() { <-n.answerSlots }()
		var body []byte
		var err error
		panicked := n.guard.Run("peer request", string(c.peer.Name), func() { body, err = h(c.ctx, c.peer, m.Body) })
		switch {
		case panicked != nil:
			n.enqueue(c, &Answer{ID: m.ID, Status: AnswerFailed, Body: []byte("the handler failed")})
		case err != nil:
			n.enqueue(c, &Answer{ID: m.ID, Status: AnswerFailed, Body: []byte(err.Error())})
		case len(body) > MaxAskBytes:
			n.enqueue(c, &Answer{ID: m.ID, Status: AnswerFailed, Body: []byte("answer is too large")})
		default:
			n.enqueue(c, &Answer{ID: m.ID, Status: AnswerOK, Body: body})
		}
	}()
}
