package ferrydocument

import (
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryring"
)

// Subscription receives the documents that come into force. For a slow receiver the versions of one
// service are coalesced to the latest; no service is dropped.
type Subscription struct {
	holder *Holder
	ring   *ferryring.Coalesce[ferryid.ServiceName, *InForce]
}

// Subscribe returns a subscription that starts with all documents in force.
func (h *Holder) Subscribe() *Subscription {
	s := &Subscription{holder: h, ring: ferryring.NewCoalesce[ferryid.ServiceName, *InForce](maxServices)}
	h.mu.Lock()
	defer h.mu.Unlock()
	for service, f := range *h.current.Load() {
		s.ring.Put(service, f)
	}
	h.subscribers[s] = struct{}{}
	return s
}

// Ready returns a channel that receives when documents are waiting.
func (s *Subscription) Ready() <-chan struct{} {
	return s.ring.Ready()
}

// Take returns the waiting documents and removes them from the subscription.
func (s *Subscription) Take() []*InForce {
	return s.ring.Take()
}

// Close ends the subscription.
func (s *Subscription) Close() {
	s.holder.mu.Lock()
	defer s.holder.mu.Unlock()
	delete(s.holder.subscribers, s)
}
