package ferrynode

import (
	"context"

	"cactusferry.dev/ferry/ferrydocument"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryservice"
	"cactusferry.dev/ferryd/ferryoperator"
)

// documents gives operators the holder's documents.
type documents struct{ node *Node }

// Apply accepts a changed document.
func (d documents) Apply(ctx context.Context, req ferryoperator.ApplyRequest) (ferryservice.Accepted, error) {
	return d.node.holder.Apply(ctx, d.node.platform, ferrydocument.ApplyRequest{
		Service: req.Service, Source: req.Source, BaseGeneration: req.BaseGeneration, Operator: req.Operator, ApplyID: req.ApplyID,
	})
}

// Accepted returns what is in force here.
func (d documents) Accepted(name ferryid.ServiceName) (ferryservice.Accepted, bool) {
	f, ok := d.node.holder.Get(name)
	if !ok {
		return ferryservice.Accepted{}, false
	}
	return f.Accepted, true
}

// All returns everything in force here.
func (d documents) All() []ferryservice.Accepted {
	out := []ferryservice.Accepted{}
	for _, f := range d.node.holder.All() {
		out = append(out, f.Accepted)
	}
	return out
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
