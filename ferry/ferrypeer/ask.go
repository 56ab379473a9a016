package ferrypeer

import (
	"context"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"

	"cactusferry.dev/ferry/ferryid"
)

const (
	// MaxAskBytes bounds the body of an Ask and of its answer.
	MaxAskBytes = 1 << 20
	askIdleFor  = 30 * time.Second
)

// UnreachableError says that a named incarnation could not be asked or did not answer.
type UnreachableError struct {
	Name        ferryid.EntryName
	Incarnation ferryid.Incarnation
	// Sent says that the request may have reached it.
	Sent bool
	Err  error
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("peer %s (%s) unreachable: %v", e.Name, e.Incarnation, e.Err)
}

func (e *UnreachableError) Unwrap() error { return e.Err }

// GoneError says that the named incarnation runs no more: it left, or a later one answers under its name.
type GoneError struct {
	Name        ferryid.EntryName
	Incarnation ferryid.Incarnation
}

func (e *GoneError) Error() string {
	return fmt.Sprintf("peer %s (%s) is gone", e.Name, e.Incarnation)
}

// RefusedError says that the far side did not serve an Ask.
type RefusedError struct {
	Name   ferryid.EntryName
	Status AnswerStatus
	Detail string
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("peer %s refused to answer (status %d): %s", e.Name, e.Status, e.Detail)
}

// Ask sends a request to one incarnation of an entry and waits for the answer, over its link if there is one, else over a connection opened on demand.
//
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
	id, answer := c.expect()
	if answer == nil {
		return nil, unreachable(false, fmt.Errorf("connection closed"))
	}
	defer c.forget(id)
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
		return c.judge(a)
	}
}

func (c *conn) judge(a *Answer) ([]byte, error) {
	switch a.Status {
	case AnswerOK:
		return a.Body, nil
	case AnswerNotThere:
		return nil, &GoneError{Name: c.peer.Name, Incarnation: c.peer.Incarnation}
	}
	return nil, &RefusedError{Name: c.peer.Name, Status: a.Status, Detail: string(a.Body)}
}

// connTo returns a connection to an incarnation: its link, one opened before, or a new one while the pool has room.
func (n *Node) connTo(ctx context.Context, m Member) (*conn, error) {
	tag := m.Tag()
	if c := n.openTo(tag); c != nil {
		return c, nil
	}
	running := n.running()
	if running == nil {
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
	c := newConn(running, ws, s.peer, PurposeAsk)
	kept := n.pool(c)
	if kept != c {
		_ = ws.CloseNow()
		c.cancel()
	}
	if kept == nil {
		return nil, fmt.Errorf("all %d connections for asks are in use", maxAskConns)
	}
	return kept, nil
}

func (n *Node) openTo(tag Tag) *conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c := n.byTag[tag]; c != nil {
		return c
	}
	return n.asks[tag]
}

// pool keeps a new connection for asks and serves it; it returns one opened meanwhile, or nil if there is no room.
func (n *Node) pool(c *conn) *conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	if old := n.asks[c.tag]; old != nil {
		return old
	}
	if n.ended || (len(n.asks) >= maxAskConns && !n.closeIdleAsk()) {
		return nil
	}
	n.asks[c.tag] = c
	n.wg.Add(2)
	go func() {
		defer n.wg.Done()
		n.serve(c, LinkUp{})
	}()
	go n.closeWhenIdle(c)
	return c
}

// closeIdleAsk makes room by closing a connection with nothing outstanding; the caller holds the lock.
func (n *Node) closeIdleAsk() bool {
	for tag, c := range n.asks {
		if c.idle() {
			delete(n.asks, tag)
			c.end(CloseUnwanted)
			return true
		}
	}
	return false
}

func (n *Node) closeWhenIdle(c *conn) {
	defer n.wg.Done()
	ticker := n.cfg.Clock.NewTicker(askIdleFor)
	defer ticker.Stop()
	asked := uint64(0)
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-ticker.Chan():
		}
		c.mu.Lock()
		used, idle := c.askID != asked, len(c.pending) == 0
		asked = c.askID
		c.mu.Unlock()
		if idle && !used {
			c.end(CloseUnwanted)
			return
		}
	}
}

func (c *conn) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending) == 0
}

// expect makes room for one answer; the channel is nil if the connection has ended.
func (c *conn) expect() (uint64, chan *Answer) {
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

func (c *conn) forget(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

func (c *conn) answered(a *Answer) {
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

// answer serves one Ask in a goroutine of its own while there is a free slot.
func (n *Node) answer(c *conn, m *Ask) {
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
	case n.answers <- struct{}{}:
	default:
		n.counters.add("AsksBusy")
		n.enqueue(c, &Answer{ID: m.ID, Status: AnswerBusy})
		return
	}
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		defer func() { <-n.answers }()
		body, err := h(c.ctx, c.peer, m.Body)
		switch {
		case err != nil:
			n.enqueue(c, &Answer{ID: m.ID, Status: AnswerFailed, Body: []byte(err.Error())})
		case len(body) > MaxAskBytes:
			n.enqueue(c, &Answer{ID: m.ID, Status: AnswerFailed, Body: []byte("answer is too large")})
		default:
			n.enqueue(c, &Answer{ID: m.ID, Status: AnswerOK, Body: body})
		}
	}()
}
