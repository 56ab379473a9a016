package ferrypeer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/websocket"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryevent"
	"cactusferry.dev/ferry/ferrynettest"
	"cactusferry.dev/ferry/ferrypeer"
)

// rawClient is a connection to a node without the protocol implementation.
type rawClient struct {
	t  *testing.T
	ws *websocket.Conn
	m  ferrypeer.Member
}

func connect(t *testing.T, to *realNode) *rawClient {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	ws, _, err := websocket.Dial(ctx, "ws://"+to.address+"/peer", &websocket.DialOptions{HTTPClient: ferrynettest.Client()})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ws.CloseNow() })
	return &rawClient{t: t, ws: ws, m: ferrypeer.Member{
		Name: "stranger", Incarnation: "run-1", FailureDomain: "domain-1", PeerAddress: "127.0.0.1:1",
		Started: ferryevent.Timestamp{Micros: time.Now().UnixMicro()},
	}}
}

func (s *rawClient) write(frame []byte) {
	assert.NilError(s.t, s.ws.Write(context.Background(), websocket.MessageBinary, frame))
}

func (s *rawClient) encode(m ferrypeer.Message) []byte {
	frame, err := ferrypeer.Encode(s.m.Tag(), ferryevent.Timestamp{}, m)
	assert.NilError(s.t, err)
	return frame
}

func (s *rawClient) hello() []byte {
	return s.encode(&ferrypeer.Hello{MinVersion: 1, Purpose: ferrypeer.PurposeLink, Member: s.m, Nonce: make([]byte, 32), Topics: []ferrypeer.TopicName{"members"}})
}

// waitClosed reads until the node closes the connection.
func (s *rawClient) waitClosed() {
	for {
		if _, _, err := s.ws.Read(context.Background()); err != nil {
			return
		}
	}
}

func TestInvalidHandshakeIsRefused(t *testing.T) {
	for _, tc := range []struct {
		name    string
		counted ferrypeer.CloseReason
		send    func(*rawClient)
	}{
		{"no hello", ferrypeer.CloseMalformed, func(s *rawClient) { s.write(s.encode(&ferrypeer.Heartbeat{})) }},
		{"not CBOR", ferrypeer.CloseMalformed, func(s *rawClient) { s.write([]byte("hello")) }},
		{"oversized hello", ferrypeer.CloseUnreachable, func(s *rawClient) { s.write(make([]byte, 100<<10)) }},
		{"tag of another member", ferrypeer.CloseMalformed, func(s *rawClient) {
			hello := s.hello()
			s.m.Incarnation = "run-2"
			frame := s.hello()
			assert.Equal(s.t, len(hello), len(frame))
			copy(frame[:24], hello[:24])
			s.write(frame)
		}},
		{"no proof", ferrypeer.CloseMalformed, func(s *rawClient) {
			s.write(s.hello())
			s.write(s.encode(&ferrypeer.Push{Topic: "members"}))
		}},
		{"wrong proof", ferrypeer.CloseUnauthenticated, func(s *rawClient) {
			s.write(s.hello())
			s.write(s.encode(&ferrypeer.Proof{MAC: make([]byte, 32)}))
		}},
		{"a later minimum version", ferrypeer.CloseVersion, func(s *rawClient) {
			s.write(s.encode(&ferrypeer.Hello{MinVersion: ferrypeer.Version + 1, Purpose: ferrypeer.PurposeLink, Member: s.m, Nonce: make([]byte, 32)}))
		}},
		{"hello for another entry", ferrypeer.CloseNotThere, func(s *rawClient) {
			s.write(s.encode(&ferrypeer.Hello{MinVersion: 1, Purpose: ferrypeer.PurposeLink, Member: s.m, Nonce: make([]byte, 32), Expect: "entry-b"}))
		}},
		{"the node's own name", ferrypeer.CloseNotThere, func(s *rawClient) {
			s.m.Name = "entry-a"
			s.write(s.hello())
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := startNode(t, "entry-a", "domain-1", nil, nil)
				s := connect(t, a)
				tc.send(s)
				s.waitClosed()
				waitFor(t, "the disconnect is counted", func() bool { return a.Counts()[string(tc.counted)] == 1 })
				assert.Equal(t, len(a.Members().List), 1)
			})
		})
	}
}

// TestReplayedHello replays the recorded handshake of an authenticated peer.
func TestReplayedHello(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := startNode(t, "entry-a", "domain-1", nil, nil)
		tap := newTap(t, a.address)
		startNode(t, "entry-b", "domain-1", []string{tap.address}, nil)
		waitFor(t, "entry-b joined through the tap", func() bool { return hasUsable(a, 2) })
		var frames [][]byte
		waitFor(t, "a recorded hello", func() bool {
			frames = tap.firstFrames(2)
			return frames != nil
		})
		before := a.Counts()[string(ferrypeer.CloseUnauthenticated)]
		s := connect(t, a)
		s.write(frames[0])
		s.write(frames[1])
		s.waitClosed()
		waitFor(t, "the replay is counted", func() bool { return a.Counts()[string(ferrypeer.CloseUnauthenticated)] == before+1 })
	})
}

func TestInvalidFrameDisconnects(t *testing.T) {
	for _, tc := range []struct {
		name  string
		frame func(b *realNode) []byte
	}{
		{"tag of another member", func(*realNode) []byte { return encodeFrom(t, 1, &ferrypeer.Heartbeat{}) }},
		{"a second hello", func(b *realNode) []byte {
			return encodeFrom(t, b.Self().Tag(), &ferrypeer.Hello{MinVersion: 1, Purpose: ferrypeer.PurposeLink, Member: b.Self(), Nonce: make([]byte, 32)})
		}},
		{"a malformed item", func(b *realNode) []byte {
			return encodeFrom(t, b.Self().Tag(), &ferrypeer.Push{Topic: "members", Items: []ferrypeer.Item{[]byte("junk")}})
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := startNode(t, "entry-a", "domain-1", nil, nil)
				tap := newTap(t, a.address)
				b := startNode(t, "entry-b", "domain-1", []string{tap.address}, nil)
				waitFor(t, "entry-b joined through the tap", func() bool { return hasUsable(a, 2) && hasUsable(b, 2) })
				waitFor(t, "the disconnect is counted", func() bool {
					tap.inject(tc.frame(b))
					return a.Counts()[string(ferrypeer.CloseMalformed)] > 0
				})
			})
		})
	}
}

func encodeFrom(t *testing.T, from ferrypeer.Tag, m ferrypeer.Message) []byte {
	t.Helper()
	frame, err := ferrypeer.Encode(from, ferryevent.Timestamp{Micros: time.Now().UnixMicro()}, m)
	assert.NilError(t, err)
	return frame
}
