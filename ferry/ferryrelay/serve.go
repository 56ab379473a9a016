package ferryrelay

import (
	"context"

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
	switch q.Op {
	case opList:
		c, ok := r.mirror(q.Kind).list()
		if !ok {
			return answer{Verdict: r.unreadVerdict(q.Kind)}
		}
		return answerOf(c)
	case opWatch:
		c, v := r.mirror(q.Kind).watch(ctx, q.After, q.Wait)
		if v == verdictLost {
			v = r.unreadVerdict(q.Kind)
		}
		a := answerOf(c)
		a.Verdict = v
		return a
	}
	return r.answerProof(q)
}

// unreadVerdict returns why a kind cannot be read from this entry, which may just have become the reader.
func (r *Relay) unreadVerdict(kind string) verdict {
	if r.PlatformReachable() && !r.mirror(kind).isComplete() {
		return verdictNotRead
	}
	return verdictLost
}

// answerProof answers with this entry's last proof.
func (r *Relay) answerProof(q question) answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.proofs[q.Kind+"/"+q.Name]
	age := r.cfg.Clock.Since(p.at)
	switch {
	case !ok && r.failingSince.IsZero():
		return answer{Verdict: verdictNotRead}
	case !ok || age > proofMaxAge:
		return answer{Verdict: verdictLost}
	}
	out := answer{Verdict: verdictOK, Age: age}
	if p.object.Name != "" {
		out.Objects = []object{{Name: p.object.Name, Version: p.object.Version, Value: p.object.Value}}
	}
	return out
}
