package ferrynode

import (
	"context"

	"cactusferry.dev/ferry/ferrydocument"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryorder"
	"cactusferry.dev/ferry/ferryservice"
)

// callerDocuments provides the callers' handlers with the documents and their current upstreams, and looks up
// customers in the index of the document.
type callerDocuments struct {
	*services
	holder *ferrydocument.Holder
}

// Customer returns the customer of the service with the given API key.
func (d callerDocuments) Customer(name ferryid.ServiceName, key string) (ferryservice.Customer, bool) {
	f, ok := d.holder.Get(name)
	if !ok {
		return ferryservice.Customer{}, false
	}
	return f.Customer(key)
}

// BodyLimit returns the largest body limit in bytes among the model services that accept the key.
func (d callerDocuments) BodyLimit(key string) (int64, bool) {
	limit, known := int64(0), false
	for _, f := range d.holder.All() {
		if f.Document.Kind != ferryservice.KindModel || key == "" {
			continue
		}
		if _, ok := f.Customer(key); ok {
			limit, known = max(limit, f.Document.Limits.BodyBytes), true
		}
	}
	return limit, known
}

// followDocuments activates each document that comes into force.
func (n *Node) followDocuments(ctx context.Context) {
	sub := n.holder.Subscribe()
	defer sub.Close()
	for {
		for _, f := range sub.Take() {
			n.activate(ctx, f)
		}
		select {
		case <-ctx.Done():
			return
		case <-sub.Ready():
		}
	}
}

// activate makes the callers' handlers use a document; the status lists only activated documents.
func (n *Node) activate(ctx context.Context, f *ferrydocument.InForce) {
	n.services.setDocument(ctx, &f.Document)
	n.updateOrders(ctx, f)
	n.limits.setDocument(f)
	n.activated.Store(f.Accepted.Service, f)
	n.log.Info().Str("Service", string(f.Accepted.Service)).Uint64("Generation", uint64(f.Accepted.Generation)).
		Str("From", f.From).Msg("document in force")
}

// activatedDocuments returns the documents that callers are served by.
func (n *Node) activatedDocuments() []*ferrydocument.InForce {
	var out []*ferrydocument.InForce
	for _, f := range n.holder.All() {
		if active, ok := n.activated.Load(f.Accepted.Service); ok {
			out = append(out, active.(*ferrydocument.InForce))
		}
	}
	return out
}

// updateOrders sets the target state of the engines from the document.
func (n *Node) updateOrders(ctx context.Context, f *ferrydocument.InForce) {
	sv, ok := n.services.get(f.Document.Service)
	if !ok || f.Document.Kind != ferryservice.KindModel {
		return
	}
	if sv.orders.Load() == nil {
		sv.orders.Store(n.startOrders(ctx, sv.name))
	}
	sv.orders.Load().orders.Want(ferryorder.WantedOf(f.Accepted.Generation, f.Document))
}
