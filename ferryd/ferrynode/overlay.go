package ferrynode

import (
	"context"
	"crypto/sha256"
	"fmt"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"

	"cactusferry.dev/ferry/ferrydocument"
	"cactusferry.dev/ferry/ferryduty"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypeer"
	"cactusferry.dev/ferry/ferryplatform"
)

// The topics and requests that entries exchange.
const (
	topicDocuments ferrypeer.TopicName = "documents"

	dutyWatch ferryduty.Duty = "watch"
	dutyList  ferryduty.Duty = "list"
)

// newOverlay makes this process's part in the overlay.
func (n *Node) newOverlay() error {
	secrets := peerSecrets(n.cfg.Keys.SealKeys())
	cfg := ferrypeer.Config{
		Self: ferrypeer.Member{
			Name: n.cfg.Name, Incarnation: n.self, FailureDomain: n.cfg.FailureDomain,
			PeerAddress: n.cfg.Peers.Advertise, CallerAddress: n.cfg.Callers.Advertise,
		},
		Seeds: n.cfg.Peers.Seeds, Clock: n.clock, Lister: cachedList{n}, Secret: secrets[0], OtherSecrets: secrets[1:],
		Log: n.log, Events: n.events,
		Topics:    []ferrypeer.Topic{documentTopic(n.holder), n.loads.Topic(), leavingTopic(n.marks)},
		Handlers:  n.askHandlers(),
		OnMembers: n.onMembers,
	}
	pair, err := n.loadPair(n.cfg.Peers.TLS)
	if err != nil {
		return merry.Prepend(err, "peers' keys")
	}
	if pair != nil {
		cfg.TLS = pair.Client()
	}
	n.peerKeys = pair
	n.peer = ferrypeer.New(cfg)
	n.loads.Notify(n.peer.Publish)
	return nil
}

// peerSecrets are what entries prove to each other, made from the keys they share.
func peerSecrets(keys [][]byte) [][]byte {
	secrets := make([][]byte, 0, len(keys))
	for _, k := range keys {
		sum := sha256.Sum256(append([]byte("cactusferry peers "), k...))
		secrets = append(secrets, sum[:])
	}
	return secrets
}

// cachedList gives the overlay the list that this process read last, so that it costs no call of its own.
type cachedList struct{ node *Node }

// Instances returns the last list.
func (c cachedList) Instances(context.Context) (ferryplatform.Instances, error) {
	list := c.node.list.Load()
	if list == nil {
		return nil, fmt.Errorf("no instance list has been read yet")
	}
	return *list, nil
}

// onMembers takes a new membership.
func (n *Node) onMembers(ms ferrypeer.Members) {
	live := len(ms.Live())
	n.services.setShare(place(ms))
	n.services.setMembers(usable(ms))
	n.watcher.SetLive(live)
	n.watcher.Watching(live <= 1 || ferryduty.HoldsInDomain(ms, dutyWatch, watchers))
	n.platform.SetBudget(platformBudget(n.cfg.Platform.CallsPerSecond, live))
}

// place is this entry's index among the entries that take calls, and their number.
func place(ms ferrypeer.Members) (index, entries int) {
	for _, m := range ms.List {
		if !m.Usable() {
			continue
		}
		if m.Name < ms.Self {
			index++
		}
		entries++
	}
	return index, max(1, entries)
}

// platformBudget is one entry's share of the calls that the whole fleet may make.
func platformBudget(fleet float64, live int) ferryplatform.Budget {
	share := float64(ferryduty.Share(ferryduty.PerSecond(fleet), live))
	return ferryplatform.Budget{PerSecond: share, Burst: max(1, int(share))}
}

// documentTopic spreads the documents in force; a change is pulled once, since documents are large.
func documentTopic(h *ferrydocument.Holder) ferrypeer.Topic {
	return ferrypeer.Topic{
		Name:    topicDocuments,
		Digest:  func() []byte { return encode(h.Digest()) },
		Missing: func(digest []byte) []ferrypeer.Item { return missingDocuments(h, digest) },
		Apply:   func(it ferrypeer.Item) (bool, error) { return applyDocument(h, it) },
	}
}

func encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		return nil
	}
	return b
}

func missingDocuments(h *ferrydocument.Holder, digest []byte) []ferrypeer.Item {
	var d ferrydocument.Digest
	if err := cbor.Unmarshal(digest, &d); err != nil {
		d = nil
	}
	var items []ferrypeer.Item
	for _, u := range h.Updates(d) {
		items = append(items, encode(u))
	}
	return items
}

func applyDocument(h *ferrydocument.Holder, it ferrypeer.Item) (bool, error) {
	var u ferrydocument.Update
	if err := cbor.Unmarshal(it, &u); err != nil {
		return false, err
	}
	v, err := h.Take(u, "peer")
	switch {
	case err != nil:
		return false, err
	case v == ferrydocument.Taken:
		return true, nil
	case v == ferrydocument.Invalid:
		return false, fmt.Errorf("document of %q does not pass its checks", u.Service)
	}
	return false, nil
}

// publishDocuments tells the peers of each document that comes into force here.
func (n *Node) publishDocuments(ctx context.Context) {
	sub := n.holder.Subscribe()
	defer sub.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case <-sub.Ready():
			sub.Take()
			n.peer.Publish(topicDocuments)
		}
	}
}

// memberOf finds the live member of an incarnation.
func (n *Node) memberOf(id ferryid.Incarnation) (ferrypeer.MemberInfo, bool) {
	for _, m := range n.peer.Members().List {
		if m.Incarnation == id {
			return m, true
		}
	}
	return ferrypeer.MemberInfo{}, false
}
