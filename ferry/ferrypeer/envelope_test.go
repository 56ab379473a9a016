package ferrypeer

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryevent"
)

var testMember = Member{
	Name: "entry-1", Incarnation: "run-1", Started: ferryevent.Timestamp{Micros: 1}, FailureDomain: "domain-1",
	PeerAddress: "127.0.0.1:7400", CallerAddress: "127.0.0.1:8400",
}

func allMessages() []Message {
	return []Message{
		&Heartbeat{Hash: 1 << 60, Wanted: true},
		&Push{Topic: "members", Items: []Item{encodeRecord(Record{Tag: testMember.Tag(), Member: &testMember, Beat: 3, Status: Alive, State: Ready})}},
		&Summary{Hashes: []uint64{1, 2}},
		&Digest{Topic: "members", Digest: []byte("12345678"), Want: true},
		&Tree{Eager: true},
		&Hello{MinVersion: 1, Purpose: PurposeLink, Member: testMember, Topics: []TopicName{"members"}, Nonce: make([]byte, nonceBytes), Expect: "entry-2"},
		&Proof{MAC: make([]byte, proofBytes)},
		&Ask{ID: 1, To: 2, Kind: 3, Body: []byte("body")},
		&Answer{ID: 1, Status: AnswerOK, Body: []byte("body")},
	}
}

func TestEnvelopeRoundTrip(t *testing.T) {
	for _, m := range allMessages() {
		frame, err := Encode(7, ferryevent.Timestamp{Micros: 5, Logical: 6}, m)
		assert.NilError(t, err)
		e, got, err := Decode(frame)
		assert.NilError(t, err)
		assert.Equal(t, e.From, Tag(7))
		assert.Equal(t, e.Sent, ferryevent.Timestamp{Micros: 5, Logical: 6})
		assert.DeepEqual(t, got, m)
	}
}

// newerHeartbeat is a Heartbeat with a field added by a later release.
type newerHeartbeat struct {
	Hash   uint64 `cbor:"1,keyasint"`
	Wanted bool   `cbor:"2,keyasint"`
	Added  string `cbor:"99,keyasint"`
}

func frameOf(t testing.TB, e Envelope, body any) []byte {
	t.Helper()
	b, err := cbor.Marshal(body)
	assert.NilError(t, err)
	e.Body = b
	frame, err := cbor.Marshal(e)
	assert.NilError(t, err)
	return frame
}

func TestVersionCompatibility(t *testing.T) {
	_, m, err := Decode(frameOf(t, Envelope{Version: Version + 1, Kind: KindHeartbeat}, newerHeartbeat{Hash: 5, Added: "later"}))
	assert.NilError(t, err)
	assert.DeepEqual(t, m, &Heartbeat{Hash: 5})

	_, _, err = Decode(frameOf(t, Envelope{Version: Version + 1, Kind: 200}, newerHeartbeat{}))
	var unknown *UnknownKindError
	assert.Assert(t, errors.As(err, &unknown), "%v", err)

	_, _, err = Decode(frameOf(t, Envelope{Version: MinVersion - 1, Kind: KindHeartbeat}, newerHeartbeat{}))
	var old *VersionError
	assert.Assert(t, errors.As(err, &old), "%v", err)
}

func TestDecodeMalformed(t *testing.T) {
	for _, tc := range []struct {
		name  string
		frame []byte
	}{
		{"empty frame", nil},
		{"not CBOR", []byte("GET / HTTP/1.1")},
		{"too large", make([]byte, MaxFrameBytes+1)},
		{"indefinite length", []byte{0xbf, 0x01, 0x01, 0xff}},
		{"deep nesting", bytes.Repeat([]byte{0x81}, 1000)},
		{"array header with an excessive length", []byte{0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}},
		{"short nonce", frameOf(t, Envelope{Version: 1, Kind: KindHello}, Hello{Purpose: PurposeLink, Member: testMember, Nonce: []byte{1}})},
		{"hello without a member", frameOf(t, Envelope{Version: 1, Kind: KindHello}, Hello{Purpose: PurposeLink, Nonce: make([]byte, nonceBytes)})},
		{"short proof", frameOf(t, Envelope{Version: 1, Kind: KindProof}, Proof{})},
		{"topic without a name", frameOf(t, Envelope{Version: 1, Kind: KindPush}, Push{})},
		{"digest too long", frameOf(t, Envelope{Version: 1, Kind: KindDigest}, Digest{Topic: "a", Digest: make([]byte, maxDigestBytes+1)})},
		{"answer without a status", frameOf(t, Envelope{Version: 1, Kind: KindAnswer}, Answer{})},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, _, err := Decode(tc.frame)
			var malformed *MalformedError
			assert.Assert(t, errors.As(err, &malformed), "%v", err)
		})
	}
}

// FuzzDecode checks that each decoded message can be encoded and decoded again.
func FuzzDecode(f *testing.F) {
	for _, m := range allMessages() {
		frame, err := Encode(7, ferryevent.Timestamp{Micros: 5}, m)
		assert.NilError(f, err)
		f.Add(frame)
	}
	f.Fuzz(func(t *testing.T, frame []byte) {
		e, m, err := Decode(frame)
		if err != nil {
			return
		}
		again, err := Encode(e.From, e.Sent, m)
		assert.NilError(t, err)
		_, got, err := Decode(again)
		assert.NilError(t, err)
		assert.Equal(t, got.kind(), m.kind())
	})
}

// FuzzRecord checks that no item from a peer corrupts the membership table.
func FuzzRecord(f *testing.F) {
	f.Add([]byte(encodeRecord(Record{Tag: testMember.Tag(), Member: &testMember, Beat: 3, Status: Dead, State: Ready, Until: 1 << 40})))
	f.Add([]byte(encodeRecord(Record{Tag: 1, Beat: 1 << 63, Status: Left, State: Draining})))
	f.Fuzz(func(t *testing.T, it []byte) {
		self := testMember
		self.Name = "entry-0"
		now := time.Unix(1000, 0)
		o := NewOverlay(OverlayConfig{Self: self}, now)
		o.Step(LinkUp{Link: 1, Peer: testMember, Topics: o.Topics()}, now)
		o.Step(Received{Link: 1, Message: &Push{Topic: topicMembers, Items: []Item{it}}}, now)
		for i := range 20 {
			o.Step(Tick{}, now.Add(time.Duration(i)*time.Second))
		}
		m, ok := o.Members().Get("entry-0")
		assert.Assert(t, ok && m.Status == Alive)
		assert.Assert(t, len(o.Members().List) <= 3)
	})
}

type shortText string

func (s shortText) Check() error {
	if len(s) > 10 {
		return errors.New("too long")
	}
	return nil
}

func newTestLatest(size int) (*Latest[shortText], *clockwork.FakeClock) {
	clock := clockwork.NewFakeClockAt(time.Unix(10000, 0))
	cfg := LatestConfig{Name: "drains", Self: "entry-0", Size: size, Clock: clock, Events: ferryevent.NewLog(clock, "entry-0", 1)}
	return NewLatest[shortText](cfg), clock
}

// FuzzEntry checks that a Latest accepts no entry from a peer that is out of bounds.
func FuzzEntry(f *testing.F) {
	e := LatestEntry[shortText]{Key: "a", Value: "v", At: ferryevent.Timestamp{Micros: 10000e6}, Origin: "entry-1", TTLSeconds: 60}
	f.Add([]byte(encodeEntry(e)))
	e.At.Micros = 1 << 62
	f.Add([]byte(encodeEntry(e)))
	f.Fuzz(func(t *testing.T, it []byte) {
		l, clock := newTestLatest(2)
		ok, err := l.apply(it)
		assert.Assert(t, err == nil || !ok)
		for _, e := range l.All() {
			assert.NilError(t, e.Value.Check())
			assert.Assert(t, !e.At.Time().After(clock.Now().Add(maxClockSkew)))
		}
	})
}

func TestLatest(t *testing.T) {
	l, clock := newTestLatest(2)
	at := clock.Now().UnixMicro()
	apply := func(key, v, origin string, micros int64, ttl uint32) bool {
		e := LatestEntry[shortText]{Key: key, Value: shortText(v), Origin: testMember.Name, At: ferryevent.Timestamp{Micros: micros}, TTLSeconds: ttl}
		if origin != "" {
			e.Origin = "entry-9"
		}
		ok, err := l.apply(encodeEntry(e))
		assert.NilError(t, err)
		return ok
	}
	assert.Assert(t, apply("a", "one", "", at, 60))
	assert.Assert(t, !apply("a", "older", "", at-1, 60))
	assert.Assert(t, apply("a", "tie", "entry-9", at, 60), "on equal timestamps the entry with the greater origin must win")
	assert.Assert(t, !apply("a", "ahead", "", at+2*maxClockSkew.Microseconds(), 60))
	assert.Assert(t, l.Set("b", "two", 30*time.Second))
	assert.Assert(t, !apply("c", "brief", "", at, 10), "a full map must refuse a new entry that would expire first")
	assert.Assert(t, apply("c", "three", "", at, 45), "a full map must evict the entry that expires first, here b")
	_, ok := l.Get("b")
	assert.Assert(t, !ok)
	e, ok := l.Get("a")
	assert.Assert(t, ok)
	assert.Equal(t, e.Value, shortText("tie"))
	clock.Advance(50 * time.Second)
	assert.Equal(t, len(l.All()), 1)
	clock.Advance(11 * time.Second)
	assert.Equal(t, len(l.All()), 0)
	assert.Equal(t, l.Refused(), uint64(2))
}

func TestListInterval(t *testing.T) {
	for _, tc := range []struct {
		live int
		want time.Duration
	}{{1, 10 * time.Second}, {9, 10 * time.Second}, {20, 10 * time.Second}, {350, 175 * time.Second}} {
		assert.Equal(t, listInterval(tc.live), tc.want)
	}
}
