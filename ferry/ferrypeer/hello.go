package ferrypeer

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"fmt"
	"time"

	"github.com/coder/websocket"
	"github.com/jonboulle/clockwork"

	"cactusferry.dev/ferry/ferryid"
)

const (
	helloTimeout  = 3 * time.Second
	maxHelloBytes = 16 << 10
)

// HelloError is returned when the handshake of a connection is refused.
type HelloError struct {
	Reason CloseReason
	Detail string
}

func (e *HelloError) Error() string {
	return fmt.Sprintf("hello refused: %s %s", e.Reason, e.Detail)
}

// session is the result of a handshake.
type session struct {
	peer    Member
	purpose Purpose
	topics  []TopicName
}

func (n *Node) hello(p Purpose, expect ferryid.EntryName) *Hello {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce)
	return &Hello{MinVersion: MinVersion, Purpose: p, Member: n.Self(), Topics: n.overlay.Topics(), Nonce: nonce, Expect: expect}
}

// The roles in a proof prevent reflection: a side's proof is not valid as the proof of the other side.
const (
	proofOfDialler  = "dial"
	proofOfAcceptor = "accept"
)

// makeProof returns the MAC of one side over both hellos of this connection.
func (n *Node) makeProof(role string, dialled, accepted []byte) *Proof {
	return computeProof(n.cfg.Secret, role, dialled, accepted)
}

func computeProof(secret []byte, role string, dialled, accepted []byte) *Proof {
	m := hmac.New(sha256.New, secret)
	for _, part := range [][]byte{[]byte(role), dialled, accepted} {
		fmt.Fprintf(m, "%d:", len(part))
		m.Write(part)
	}
	return &Proof{MAC: m.Sum(nil)}
}

// checkProof returns an error unless the proof was made with Secret or one of OtherSecrets.
func (n *Node) checkProof(got *Proof, role string, dialled, accepted []byte) error {
	if hmac.Equal(got.MAC, n.makeProof(role, dialled, accepted).MAC) {
		return nil
	}
	for _, secret := range n.cfg.OtherSecrets {
		if hmac.Equal(got.MAC, computeProof(secret, role, dialled, accepted).MAC) {
			return nil
		}
	}
	return &HelloError{Reason: CloseUnauthenticated, Detail: "wrong proof"}
}

// acceptHello runs the accepting side of the handshake: read hello, send hello, read proof, send proof.
func (n *Node) acceptHello(ctx context.Context, ws *websocket.Conn) (session, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, n.cfg.Clock, helloTimeout)
	defer cancel()
	ws.SetReadLimit(maxHelloBytes)
	peerHello, peerFrame, err := n.readHello(ctx, ws)
	if err != nil {
		return session{}, err
	}
	own := n.hello(peerHello.Purpose, "")
	own.Refused = n.checkHello(peerHello)
	ownFrame, err := n.writeMessage(ctx, ws, own)
	if err != nil {
		return session{}, err
	}
	if own.Refused != "" {
		return session{}, &HelloError{Reason: own.Refused}
	}
	proof, err := readProof(ctx, ws)
	if err != nil {
		return session{}, err
	}
	if err := n.checkProof(proof, proofOfDialler, peerFrame, ownFrame); err != nil {
		return session{}, err
	}
	if _, err := n.writeMessage(ctx, ws, n.makeProof(proofOfAcceptor, peerFrame, ownFrame)); err != nil {
		return session{}, err
	}
	return session{peer: peerHello.Member, purpose: peerHello.Purpose, topics: peerHello.Topics}, nil
}

// checkHello returns the reason for refusing a hello, or an empty string.
func (n *Node) checkHello(h *Hello) CloseReason {
	switch {
	case h.MinVersion > Version:
		return CloseVersion
	case h.Member.Name == n.cfg.Self.Name:
		return CloseNotThere
	case h.Expect != "" && h.Expect != n.cfg.Self.Name:
		return CloseNotThere
	}
	return ""
}

// dialHello runs the dialling side of the handshake.
func (n *Node) dialHello(ctx context.Context, ws *websocket.Conn, p Purpose, expect ferryid.EntryName) (session, error) {
	ws.SetReadLimit(maxHelloBytes)
	own := n.hello(p, expect)
	ownFrame, err := n.writeMessage(ctx, ws, own)
	if err != nil {
		return session{}, err
	}
	peerHello, peerFrame, err := n.readHello(ctx, ws)
	if err != nil {
		return session{}, err
	}
	switch {
	case peerHello.Refused != "":
		return session{}, &HelloError{Reason: peerHello.Refused, Detail: "by the far side"}
	case peerHello.MinVersion > Version:
		return session{}, &HelloError{Reason: CloseVersion}
	case expect != "" && peerHello.Member.Name != expect:
		return session{}, &HelloError{Reason: CloseNotThere, Detail: string(peerHello.Member.Name)}
	}
	if _, err := n.writeMessage(ctx, ws, n.makeProof(proofOfDialler, ownFrame, peerFrame)); err != nil {
		return session{}, err
	}
	proof, err := readProof(ctx, ws)
	if err != nil {
		return session{}, err
	}
	if err := n.checkProof(proof, proofOfAcceptor, ownFrame, peerFrame); err != nil {
		return session{}, err
	}
	return session{peer: peerHello.Member, purpose: p, topics: peerHello.Topics}, nil
}

func (n *Node) writeMessage(ctx context.Context, ws *websocket.Conn, m Message) ([]byte, error) {
	frame, err := Encode(n.cfg.Self.Tag(), n.cfg.Events.Now(), m)
	if err != nil {
		return nil, err
	}
	return frame, ws.Write(ctx, websocket.MessageBinary, frame)
}

func (n *Node) readHello(ctx context.Context, ws *websocket.Conn) (*Hello, []byte, error) {
	_, frame, err := ws.Read(ctx)
	if err != nil {
		return nil, nil, err
	}
	e, m, err := Decode(frame)
	if err != nil {
		return nil, nil, err
	}
	h, ok := m.(*Hello)
	if !ok || e.From != h.Member.Tag() {
		return nil, nil, &MalformedError{Kind: e.Kind, Err: fmt.Errorf("a hello from its own member was due")}
	}
	return h, frame, nil
}

func readProof(ctx context.Context, ws *websocket.Conn) (*Proof, error) {
	_, frame, err := ws.Read(ctx)
	if err != nil {
		return nil, err
	}
	e, m, err := Decode(frame)
	if err != nil {
		return nil, err
	}
	p, ok := m.(*Proof)
	if !ok {
		return nil, &MalformedError{Kind: e.Kind, Err: fmt.Errorf("a proof was due")}
	}
	return p, nil
}
