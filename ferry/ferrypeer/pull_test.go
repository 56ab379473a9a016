package ferrypeer_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypeer"
)

// TestEachDigestIsPulledOnce checks that a digest is pulled from one peer only, and that a different digest is pulled
// at once even if the first pull has not been answered.
func TestEachDigestIsPulledOnce(t *testing.T) {
	const topic ferrypeer.TopicName = "documents"
	own := ferrypeer.Member{Name: "entry-0", Incarnation: "1"}
	o := ferrypeer.NewOverlay(ferrypeer.OverlayConfig{Self: own, Topics: []ferrypeer.Topic{{
		Name:    topic,
		Digest:  func() []byte { return []byte("own") },
		Missing: func([]byte) []ferrypeer.Item { return nil },
		Apply:   func(ferrypeer.Item) (bool, error) { return false, nil },
	}}}, start)
	for id, name := range map[ferrypeer.LinkID]ferryid.EntryName{1: "entry-1", 2: "entry-2"} {
		o.Step(ferrypeer.LinkUp{Link: id, Peer: ferrypeer.Member{Name: name, Incarnation: "1"}, Topics: []ferrypeer.TopicName{topic}}, start)
	}
	for _, tt := range []struct {
		name   string
		link   ferrypeer.LinkID
		digest string
		pulls  int
	}{
		{"first digest from one peer", 1, "five", 1},
		{"same digest from another peer", 2, "five", 0},
		{"later digest while the pull is unanswered", 2, "six", 1},
		{"later digest again", 1, "six", 0},
	} {
		pulls := 0
		m := &ferrypeer.Digest{Topic: topic, Digest: []byte(tt.digest)}
		for _, a := range o.Step(ferrypeer.Received{Link: tt.link, Message: m}, start) {
			if s, ok := a.(ferrypeer.Send); ok && s.Link == tt.link {
				if d, ok := s.Message.(*ferrypeer.Digest); ok && d.Want {
					pulls++
				}
			}
		}
		assert.Equal(t, pulls, tt.pulls, tt.name)
	}
}
