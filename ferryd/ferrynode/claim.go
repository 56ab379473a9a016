package ferrynode

import (
	"context"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"

	"cactusferry.dev/ferry/ferryclaim"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypeer"
)

// The kinds of requests between entries about claims; askLimit and askOrders are the other kinds.
const (
	askClaim    ferrypeer.AskKind = 1
	askWrites   ferrypeer.AskKind = 2
	askTakeOver ferrypeer.AskKind = 3
)

const handOverRetryInterval = 100 * time.Millisecond

// askHandlers returns the handlers for requests from peers.
func (n *Node) askHandlers() map[ferrypeer.AskKind]ferrypeer.Handler {
	return map[ferrypeer.AskKind]ferrypeer.Handler{
		askClaim:    n.answerClaim,
		askWrites:   n.answerWrites,
		askTakeOver: n.answerTakeOver,
		askLimit:    n.answerLimits,
		askOrders:   n.answerOrders,
	}
}

// peerClient sends requests to other incarnations over the overlay.
// It implements ferryclaim.Asker and ferryclaim.Forwarder.
type peerClient struct{ node *Node }

// askPeer sends a request to an incarnation and decodes its answer.
func (c peerClient) askPeer(ctx context.Context, id ferryid.Incarnation, kind ferrypeer.AskKind, in, out any) error {
	m, ok := c.node.memberOf(id)
	if !ok {
		return fmt.Errorf("incarnation %s is not a member", id)
	}
	b, err := c.node.peer.Ask(ctx, m.Name, id, kind, encode(in))
	if err != nil {
		return err
	}
	return cbor.Unmarshal(b, out)
}

// Ask asks the incarnation for its record of a claim.
func (c peerClient) Ask(ctx context.Context, id ferryid.Incarnation, q ferryclaim.Question) (ferryclaim.Answer, error) {
	var a ferryclaim.Answer
	err := c.askPeer(ctx, id, askClaim, q, &a)
	return a, merry.Prepend(err, "ask about a claim")
}

// Forward sends writes to the owner of their slot and returns its decisions.
func (c peerClient) Forward(ctx context.Context, owner ferryid.Incarnation, ws []ferryclaim.Write) ([]ferryclaim.Decision, error) {
	var ds []ferryclaim.Decision
	err := c.askPeer(ctx, owner, askWrites, ws, &ds)
	return ds, merry.Prepend(err, "forward claims")
}

func (n *Node) answerClaim(_ context.Context, _ ferrypeer.Member, body []byte) ([]byte, error) {
	var q ferryclaim.Question
	if err := cbor.Unmarshal(body, &q); err != nil {
		return nil, merry.Prepend(err, "question about a claim")
	}
	return encode(n.claims.Answer(q)), nil
}

func (n *Node) answerWrites(ctx context.Context, _ ferrypeer.Member, body []byte) ([]byte, error) {
	var ws []ferryclaim.Write
	if err := cbor.Unmarshal(body, &ws); err != nil {
		return nil, merry.Prepend(err, "forwarded claims")
	}
	ds, err := n.claims.Write(ctx, ws)
	if err != nil {
		return nil, err
	}
	return encode(ds), nil
}

func (n *Node) answerTakeOver(_ context.Context, from ferrypeer.Member, body []byte) ([]byte, error) {
	if err := n.claims.TakeOver(body); err != nil {
		return nil, err
	}
	n.events.Add("TookOver", string(from.Name), "its claims and tickets")
	return encode(true), nil
}

// liveIncarnations returns the incarnations eligible as heir of claims, owner of a slot or counter of limits.
func (n *Node) liveIncarnations() []ferryid.Incarnation {
	var out []ferryid.Incarnation
	for _, m := range n.peer.Members().List {
		if m.Usable() || m.Name == n.cfg.Name {
			out = append(out, m.Incarnation)
		}
	}
	return out
}

// handOver transfers the claims and tickets that only this incarnation knows to an heir.
// Outcomes then become unknown only by a crash.
func (n *Node) handOver(ctx context.Context) error {
	heirs := ferryclaim.HeirOrder(n.self, n.liveIncarnations())
	if len(heirs) == 0 {
		return merry.New("no other live entry to hand over claims and tickets to")
	}
	sealed, err := n.claims.HandOver(heirs[0])
	if err != nil {
		return err
	}
	for {
		err = n.sendHandOver(ctx, heirs[0], sealed)
		if err == nil {
			n.events.Add("HandedOver", string(heirs[0]), "claims and tickets")
			return nil
		}
		select {
		case <-ctx.Done():
			return merry.Prepend(err, "hand over claims and tickets to "+string(heirs[0]))
		case <-n.clock.After(handOverRetryInterval):
		}
	}
}

func (n *Node) sendHandOver(ctx context.Context, heir ferryid.Incarnation, sealed []byte) error {
	m, ok := n.memberOf(heir)
	if !ok {
		return fmt.Errorf("incarnation %s is not a member", heir)
	}
	_, err := n.peer.Ask(ctx, m.Name, heir, askTakeOver, sealed)
	return err
}
