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

// stranger speaks to a node by hand.
type stranger struct {
	t  *testing.T
	ws *websocket.Conn
	m  ferrypeer.Member
}

func connect(t *testing.T, to *realNode) *stranger {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	ws, _, err := websocket.Dial(ctx, "ws://"+to.address+"/peer", &websocket.DialOptions{HTTPClient: ferrynettest.Client()})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ws.CloseNow() })
	return &stranger{t: t, ws: ws, m: ferrypeer.Member{
		Name: "stranger", Incarnation: "run-1", FailureDomain: "domain-1", PeerAddress: "127.0.0.1:1",
		Started: ferryevent.Timestamp{Micros: time.Now().UnixMicro()},
	}}
}

func (s *stranger) write(frame []byte) {
	assert.NilError(s.t, s.ws.Write(context.Background(), websocket.MessageBinary, frame))
}

func (s *stranger) encode(m ferrypeer.Message) []byte {
	frame, err := ferrypeer.Encode(s.m.Tag(), ferryevent.Timestamp{}, m)
	assert.NilError(s.t, err)
	return frame
}

func (s *stranger) hello() []byte {
	return s.encode(&ferrypeer.Hello{MinVersion: 1, Purpose: ferrypeer.PurposeLink, Member: s.m, Nonce: make([]byte, 32), Topics: []ferrypeer.TopicName{"members"}})
}

// cutOff reads until the node closes the connection.
func (s *stranger) cutOff() {
	for {
		if _, _, err := s.ws.Read(context.Background()); err != nil {
			return
		}
	}
}

func TestStrangersAreCutOff(t *testing.T) {
	for _, tc := range []struct {
		name    string
		counted ferrypeer.CloseReason
		speak   func(*stranger)
	}{
		{"no hello", ferrypeer.CloseMalformed, func(s *stranger) { s.write(s.encode(&ferrypeer.Heartbeat{})) }},
		{"not CBOR", ferrypeer.CloseMalformed, func(s *stranger) { s.write([]byte("hello")) }},
		{"a large hello", ferrypeer.CloseUnreachable, func(s *stranger) { s.write(make([]byte, 100<<10)) }},
		{"another's tag", ferrypeer.CloseMalformed, func(s *stranger) {
			hello := s.hello()
			s.m.Incarnation = "run-2"
			frame := s.hello()
			assert.Equal(s.t, len(hello), len(frame))
			copy(frame[:24], hello[:24])
			s.write(frame)
		}},
		{"no proof", ferrypeer.CloseMalformed, func(s *stranger) {
			s.write(s.hello())
			s.write(s.encode(&ferrypeer.Push{Topic: "members"}))
		}},
		{"wrong proof", ferrypeer.CloseUnauthenticated, func(s *stranger) {
			s.write(s.hello())
			s.write(s.encode(&ferrypeer.Proof{MAC: make([]byte, 32)}))
		}},
		{"a later minimum version", ferrypeer.CloseVersion, func(s *stranger) {
			s.write(s.encode(&ferrypeer.Hello{MinVersion: ferrypeer.Version + 1, Purpose: ferrypeer.PurposeLink, Member: s.m, Nonce: make([]byte, 32)}))
		}},
		{"meant for another", ferrypeer.CloseNotThere, func(s *stranger) {
			s.write(s.encode(&ferrypeer.Hello{MinVersion: 1, Purpose: ferrypeer.PurposeLink, Member: s.m, Nonce: make([]byte, 32), Expect: "entry-b"}))
		}},
		{"the node's own name", ferrypeer.CloseNotThere, func(s *stranger) {
			s.m.Name = "entry-a"
			s.write(s.hello())
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := startNode(t, "entry-a", "domain-1", nil, nil)
				s := connect(t, a)
				tc.speak(s)
				s.cutOff()
				waitFor(t, "it is counted", func() bool { return a.Counts()[string(tc.counted)] == 1 })
				assert.Equal(t, len(a.Members().List), 1)
			})
		})
	}
}

// TestReplayedHello records what a genuine peer sends and plays it again.
func TestReplayedHello(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := startNode(t, "entry-a", "domain-1", nil, nil)
		tap := newTap(t, a.address)
		startNode(t, "entry-b", "domain-1", []string{tap.address}, nil)
		waitFor(t, "entry-b joined through the tap", func() bool { return sees(a, 2) })
		var frames [][]byte
		waitFor(t, "a recorded hello", func() bool {
			frames = tap.firstFrames(2)
			return frames != nil
		})
		before := a.Counts()[string(ferrypeer.CloseUnauthenticated)]
		s := connect(t, a)
		s.write(frames[0])
		s.write(frames[1])
		s.cutOff()
		waitFor(t, "the replay is counted", func() bool { return a.Counts()[string(ferrypeer.CloseUnauthenticated)] == before+1 })
	})
}

func TestFrameOfAnotherIsCutOff(t *testing.T) {
	for _, tc := range []struct {
		name  string
		frame func(b *realNode) []byte
	}{
		{"another's tag", func(*realNode) []byte { return encodeFrom(t, 1, &ferrypeer.Heartbeat{}) }},
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
				waitFor(t, "entry-b joined through the tap", func() bool { return sees(a, 2) && sees(b, 2) })
				waitFor(t, "it is counted", func() bool {
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
