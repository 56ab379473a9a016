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

// Topics and duties of the overlay.
const (
	topicDocuments ferrypeer.TopicName = "documents"

	dutyWatch ferryduty.Duty = "watch"
	dutyList  ferryduty.Duty = "list"
)

// newOverlay creates the overlay node of this process.
func (n *Node) newOverlay() error {
	secrets := peerSecrets(n.cfg.Keys.SealKeys())
	cfg := ferrypeer.Config{
		Self: ferrypeer.Member{
			Name: n.cfg.Name, Incarnation: n.self, FailureDomain: n.cfg.FailureDomain,
			PeerAddress: n.cfg.Peers.Advertise, CallerAddress: n.cfg.Callers.Advertise,
		},
		Seeds: n.cfg.Peers.Seeds, Clock: n.clock, Lister: cachedList{n}, Secret: secrets[0], OtherSecrets: secrets[1:],
		Log: n.log, Events: n.events,
		Topics:    []ferrypeer.Topic{documentTopic(n.holder), n.sharedLoads.Topic(), leavingTopic(n.marks)},
		Handlers:  n.askHandlers(),
		OnMembers: n.onMembers,
	}
	pair, err := n.loadPair(n.cfg.Peers.TLS)
	if err != nil {
		return merry.Prepend(err, "load TLS key pair for peers")
	}
	if pair != nil {
		cfg.TLS = pair.Client()
	}
	n.peerKeys = pair
	n.peer = ferrypeer.New(cfg)
	n.sharedLoads.Notify(n.peer.Publish)
	return nil
}

// peerSecrets derives the secrets for the authentication of peers from the shared seal keys.
func peerSecrets(keys [][]byte) [][]byte {
	secrets := make([][]byte, 0, len(keys))
	for _, k := range keys {
		sum := sha256.Sum256(append([]byte("cactusferry peers "), k...))
		secrets = append(secrets, sum[:])
	}
	return secrets
}

// cachedList provides the overlay with the last instance list read by this process, without another platform call.
type cachedList struct{ node *Node }

// Instances returns the last instance list.
func (c cachedList) Instances(context.Context) (ferryplatform.Instances, error) {
	list := c.node.list.Load()
	if list == nil {
		return nil, fmt.Errorf("no instance list has been read yet")
	}
	return *list, nil
}

// onMembers applies a new membership snapshot.
func (n *Node) onMembers(ms ferrypeer.Members) {
	live := len(ms.Live())
	n.services.setShare(entryIndex(ms))
	n.services.setMembers(usableEntries(ms))
	n.watcher.SetLive(live)
	n.watcher.SetWatching(live <= 1 || ferryduty.HoldsInDomain(ms, dutyWatch, watchersPerDomain))
	n.platform.SetBudget(platformBudget(n.cfg.Platform.CallsPerSecond, live))
}

// entryIndex returns this entry's index among the usable entries, and their number.
func entryIndex(ms ferrypeer.Members) (index, entries int) {
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

// platformBudget returns one entry's share of the fleet's budget of platform calls per second.
func platformBudget(fleet float64, live int) ferryplatform.Budget {
	share := float64(ferryduty.Share(ferryduty.PerSecond(fleet), live))
	return ferryplatform.Budget{PerSecond: share, Burst: max(1, int(share))}
}

// documentTopic returns the topic that replicates the documents in force.
// Changes are offered by digest and pulled once, because documents are large.
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
	v, err := h.OfferUpdate(u, "peer")
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

// publishDocuments notifies the peers of each document that comes into force on this entry.
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

// memberOf returns the member with the given incarnation.
func (n *Node) memberOf(id ferryid.Incarnation) (ferrypeer.MemberInfo, bool) {
	for _, m := range n.peer.Members().List {
		if m.Incarnation == id {
			return m, true
		}
	}
	return ferrypeer.MemberInfo{}, false
}
