package ferrynode

import (
	"context"

	"cactusferry.dev/ferry/ferrydocument"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryorder"
	"cactusferry.dev/ferry/ferryservice"
)

// callerDocuments gives callers' handlers the documents with their present upstreams, and finds customers by index.
type callerDocuments struct {
	*services
	holder *ferrydocument.Holder
}

// Customer returns the customer of the service that a key belongs to.
func (d callerDocuments) Customer(name ferryid.ServiceName, key string) (ferryservice.Customer, bool) {
	f, ok := d.holder.Get(name)
	if !ok {
		return ferryservice.Customer{}, false
	}
	return f.Customer(key)
}

// BodyLimit returns the largest body that any model service takes from the key's customer.
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

// follow puts each document that comes into force to use.
func (n *Node) follow(ctx context.Context) {
	sub := n.holder.Subscribe()
	defer sub.Close()
	for {
		for _, f := range sub.Take() {
			n.use(ctx, f)
		}
		select {
		case <-ctx.Done():
			return
		case <-sub.Ready():
		}
	}
}

// use has callers served by a document; only then does the status name it.
func (n *Node) use(ctx context.Context, f *ferrydocument.InForce) {
	n.services.setDocument(ctx, &f.Document)
	n.orderDocument(ctx, f)
	n.limits.setDocument(f)
	n.used.Store(f.Accepted.Service, f)
	n.log.Info().Str("Service", string(f.Accepted.Service)).Uint64("Generation", uint64(f.Accepted.Generation)).
		Str("From", f.From).Msg("document in force")
}

// inUse returns the documents that callers are served by.
func (n *Node) inUse() []*ferrydocument.InForce {
	var out []*ferrydocument.InForce
	for _, f := range n.holder.All() {
		if used, ok := n.used.Load(f.Accepted.Service); ok {
			out = append(out, used.(*ferrydocument.InForce))
		}
	}
	return out
}

// orderDocument has the engines brought to what the document asks for.
func (n *Node) orderDocument(ctx context.Context, f *ferrydocument.InForce) {
	sv, ok := n.services.get(f.Document.Service)
	if !ok || f.Document.Kind != ferryservice.KindModel {
		return
	}
	if sv.orders.Load() == nil {
		sv.orders.Store(n.startOrders(ctx, sv.name))
	}
	sv.orders.Load().orders.Want(ferryorder.WantedOf(f.Accepted.Generation, f.Document))
}
