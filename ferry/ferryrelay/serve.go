package ferryrelay

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cactusferry.dev/ferry/ferrypeer"
)

// Answer answers another entry's question. It is the overlay's Handler for AskKind.
func (r *Relay) Answer(ctx context.Context, _ ferrypeer.Member, body []byte) ([]byte, error) {
	q, err := decodeQuestion(body)
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(r.answer(ctx, q))
}

func (r *Relay) answer(ctx context.Context, q question) answer {
	asked := r.cfg.Clock.Now()
	switch q.Op {
	case opList:
		r.awaitRead(ctx, q.Wait, r.mirror(q.Kind).isComplete)
		c, at, ok := r.mirror(q.Kind).list()
		if !ok {
			return answer{Status: r.unreadStatus(q.Kind)}
		}
		return answerOf(c, asked.Sub(at))
	case opWatch:
		n := r.mirror(q.Kind).watch(ctx, q.After, asked, q.Wait)
		if n.status == statusPlatformLost {
			n.status = r.unreadStatus(q.Kind)
		}
		a := answerOf(n.changes, asked.Sub(n.provedAt))
		a.Status = n.status
		return a
	}
	if q.Op == opInForce {
		return r.answerInForce(q)
	}
	r.awaitRead(ctx, q.Wait, func() bool { return r.hasProof(q) })
	return r.answerProof(q, asked)
}

const readCheckInterval = 20 * time.Millisecond

// awaitRead waits until this entry has read what another one asks for, if it reads from the platform directly.
func (r *Relay) awaitRead(ctx context.Context, wait time.Duration, done func() bool) {
	began := r.cfg.Clock.Now()
	for !done() && r.PlatformReachable() && r.ReadsDirectly() && r.cfg.Clock.Since(began) < wait {
		select {
		case <-ctx.Done():
			return
		case <-r.cfg.Clock.After(readCheckInterval):
		}
	}
}

func (r *Relay) hasProof(q question) bool {
	_, ok := r.latestProof(q)
	return ok
}

// latestProof returns this entry's latest proof of an object, by a read of its own or by the list of its kind.
func (r *Relay) latestProof(q question) (proof, bool) {
	listed, hasList := r.mirror(q.Kind).proof(q.Name)
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.proofs[q.Kind+"/"+q.Name]
	if hasList && listed.at.After(p.at) {
		return listed, true
	}
	return p, ok
}

// unreadStatus returns why a kind cannot be read from this entry, which may just have become the reader.
func (r *Relay) unreadStatus(kind string) status {
	if r.PlatformReachable() && !r.mirror(kind).isComplete() {
		return statusNotRead
	}
	return statusPlatformLost
}

// answerProof answers a question that arrived at the given time with this entry's last proof.
func (r *Relay) answerProof(q question, asked time.Time) answer {
	p, ok := r.latestProof(q)
	switch {
	case !ok && r.PlatformReachable():
		return answer{Status: statusNotRead}
	case !ok || r.cfg.Clock.Since(p.at) > proofMaxAge:
		return answer{Status: statusPlatformLost}
	}
	out := answer{Status: statusOK, Age: asked.Sub(p.at)}
	if p.object.Name != "" {
		out.Objects = []object{{Name: p.object.Name, Version: p.object.Version, Value: p.object.Value}}
	}
	return out
}
