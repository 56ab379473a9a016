package ferrypeer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypeer"
	"cactusferry.dev/ferry/ferrypeertest"
)

// TestLeavingIsSentOnEveryLink checks that the Left record is also pushed on lazy links.
func TestLeavingIsSentOnEveryLink(t *testing.T) {
	f := ferrypeertest.New(start)
	topics := []ferrypeer.TopicName{"members"}
	c := f.Add(f.MemberOf("entry-a", "domain-1", 1), nil, nil)
	for id, name := range []string{"entry-b", "entry-c"} {
		c.Overlay.Step(ferrypeer.LinkUp{Link: ferrypeer.LinkID(id), Peer: f.MemberOf(name, "domain-1", 1), Topics: topics}, start)
		c.Overlay.Step(ferrypeer.Received{Link: ferrypeer.LinkID(id), Message: &ferrypeer.Tree{Eager: false}}, start)
	}
	c.Overlay.Step(ferrypeer.Tick{}, start.Add(time.Second))
	notified := map[ferrypeer.LinkID]bool{}
	for _, a := range c.Overlay.Step(ferrypeer.Leaving{}, start.Add(time.Second)) {
		if s, ok := a.(ferrypeer.Send); ok {
			push, ok := s.Message.(*ferrypeer.Push)
			notified[s.Link] = notified[s.Link] || ok && push.Topic == "members"
		}
	}
	assert.DeepEqual(t, notified, map[ferrypeer.LinkID]bool{0: true, 1: true})
	left, _ := c.Overlay.Members().Get(ferryid.EntryName("entry-a"))
	assert.Equal(t, left.Status, ferrypeer.Left)
}
