package ferrynode

import (
	"context"

	"cactusferry.dev/ferry/ferrydocument"
	"cactusferry.dev/ferry/ferryid"
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

// follow puts each document that comes into force to use.
func (n *Node) follow(ctx context.Context) {
	sub := n.holder.Subscribe()
	defer sub.Close()
	for {
		for _, f := range sub.Take() {
			n.services.setDocument(ctx, &f.Document)
			n.log.Info().Str("Service", string(f.Accepted.Service)).Uint64("Generation", uint64(f.Accepted.Generation)).
				Str("From", f.From).Msg("document in force")
		}
		select {
		case <-ctx.Done():
			return
		case <-sub.Ready():
		}
	}
}
