package ferrynode

import "context"

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
