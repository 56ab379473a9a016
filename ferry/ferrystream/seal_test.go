package ferrystream_test

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferrystream"
)

var (
	keyA   = bytes.Repeat([]byte("a"), 32)
	keyB   = bytes.Repeat([]byte("b"), 32)
	digest = ferrystream.RequestDigest("prompt", 9, 1)
	resume = ferrystream.Resume{
		Customer: "stoyanovi", Service: "herd-llm", Stream: "s1", Pipeline: "p", Request: digest, Seed: 1, Epoch: 1,
	}
)

func newSealer(tb testing.TB, clock clockwork.Clock, keys ...[]byte) *ferrystream.Sealer {
	tb.Helper()
	s, err := ferrystream.NewSealer(ferrystream.SealerConfig{Keys: keys, Clock: clock, MaxAge: time.Hour})
	assert.NilError(tb, err)
	return s
}

func newToken(tb testing.TB, s *ferrystream.Sealer, n int) string {
	tb.Helper()
	st, err := s.Stream(resume)
	assert.NilError(tb, err)
	for i := range n {
		st.Add(ferrystream.Token{Position: positionOf(i), Epoch: 2, Text: "x"})
	}
	return string(st.AppendID(nil))
}

func TestSealerOpensOwnTokens(t *testing.T) {
	clock := clockwork.NewFakeClock()
	old := newSealer(t, clock, keyA)
	token := newToken(t, old, 3)
	for name, s := range map[string]*ferrystream.Sealer{"same": old, "rotated": newSealer(t, clock, keyB, keyA)} {
		r, err := s.Open(token, "stoyanovi", "herd-llm", digest)
		assert.NilError(t, err, name)
		assert.Equal(t, r.Next, positionOf(3))
		assert.Equal(t, r.Epoch, resume.Epoch+1)
	}
	assert.Assert(t, newToken(t, old, 3) != token, "two sealers of one stream created the same token")
}

func TestSealerRejectsInvalidTokens(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := newSealer(t, clock, keyA)
	token := newToken(t, s, 3)
	flipped := []byte(token)
	flipped[len(flipped)-3] ^= 1
	late := clockwork.NewFakeClockAt(clock.Now().Add(2 * time.Hour))
	early := clockwork.NewFakeClockAt(clock.Now().Add(-2 * time.Hour))
	for _, tt := range []struct {
		name   string
		sealer *ferrystream.Sealer
		token  string
		who    string
		where  string
		digest ferrystream.Digest
		want   any
	}{
		{"another customer", s, token, "inkwell", "herd-llm", digest, new(*ferrystream.ForeignError)},
		{"another service", s, token, "stoyanovi", "scribe-pool", digest, new(*ferrystream.ForeignError)},
		{"another request", s, token, "stoyanovi", "herd-llm", ferrystream.RequestDigest("prompt", 9, 2), new(*ferrystream.RequestError)},
		{"old", newSealer(t, late, keyA), token, "stoyanovi", "herd-llm", digest, new(*ferrystream.ExpiredError)},
		{"from the future", newSealer(t, early, keyA), token, "stoyanovi", "herd-llm", digest, new(*ferrystream.ForgedError)},
		{"forged", s, string(flipped), "stoyanovi", "herd-llm", digest, new(*ferrystream.ForgedError)},
		{"unknown key", newSealer(t, clock, keyB), token, "stoyanovi", "herd-llm", digest, new(*ferrystream.ForgedError)},
		{"empty", s, "", "stoyanovi", "herd-llm", digest, new(*ferrystream.ForgedError)},
		{"huge", s, string(bytes.Repeat([]byte("A"), 1<<20)), "stoyanovi", "herd-llm", digest, new(*ferrystream.ForgedError)},
	} {
		_, err := tt.sealer.Open(tt.token, customer(tt.who), service(tt.where), tt.digest)
		assert.Assert(t, err != nil && errors.As(err, tt.want), "%s: %v", tt.name, err)
	}
	for i := range token {
		_, err := s.Open(token[:i], "stoyanovi", "herd-llm", digest)
		var forged *ferrystream.ForgedError
		assert.Assert(t, errors.As(err, &forged), "cut at %d: %v", i, err)
	}
}

func TestResumeComparesHistory(t *testing.T) {
	for _, tt := range []struct {
		name   string
		first  string
		second string
		want   string
	}{
		{"same text", "abcde", "abcdef", "def"},
		{"differs before the resume position", "abcde", "abXdef", ""},
	} {
		r := resume
		r.Next = 3
		for _, c := range tt.first[:3] {
			r.History = r.History.Add(string(c))
		}
		filter := ferrystream.NewResumeFilter(r)
		got := ""
		var failed error
		for i, c := range tt.second {
			needed, err := filter.Add(ferrystream.Token{Position: positionOf(i), Text: string(c)})
			if err != nil {
				failed = err
				break
			}
			if needed {
				got += string(c)
			}
		}
		assert.Equal(t, got, tt.want, tt.name)
		assert.Equal(t, failed == nil, tt.want != "", tt.name)
	}
}

func FuzzOpen(f *testing.F) {
	s := newSealer(f, clockwork.NewFakeClock(), keyA)
	good := newToken(f, s, 2)
	f.Add(good)
	f.Add(good[:20])
	f.Add("")
	f.Fuzz(func(t *testing.T, token string) {
		r, err := s.Open(token, "stoyanovi", "herd-llm", digest)
		if err == nil && (r.Customer != "stoyanovi" || r.Stream != resume.Stream) {
			t.Fatalf("opened a token that was not sealed: %+v", r)
		}
	})
}
