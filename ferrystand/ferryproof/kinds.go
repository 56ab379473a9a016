package ferryproof

import (
	"bufio"
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypipeline"
	"cactusferry.dev/ferry/ferrystream"
	"cactusferry.dev/ferrystand/ferrydemo"
	"cactusferry.dev/ferrystand/ferryproxy"
	"cactusferry.dev/ferrystand/ferrystandengine"
)

const (
	kindsLoad    = 9 * time.Second
	kindsCallers = 12
	// kindsTokens is more than the tokens from which a KV cache is moved and not rebuilt.
	kindsTokens = 420
	kindsFirst  = 1500 * time.Millisecond
	kindsDown   = 1500 * time.Millisecond
	// kindsCutAt is the token of each stream at which its last engine's links are cut.
	kindsCutAt = 300
	kindsAsk   = 200 * time.Millisecond
	tokenAge   = time.Hour
)

var kinds = Case{
	Name:     "kinds",
	Promise:  "every layer runs once for each token, in order, on engines of eight kinds",
	Faults:   "rates and links that differ a hundredfold; of the busiest engines one killed and started again empty, one frozen and woken, one that forgets its streams; links cut under streams with 300 tokens",
	size:     ferrydemo.Config{Engines: 16, Entries: 3, Kinds: true, EngineProxies: true},
	journals: true,
	run: func(ctx context.Context, w *world) error {
		load, end := context.WithTimeout(ctx, kindsLoad)
		defer end()
		var t tally
		d, err := newDeliveries()
		if err != nil {
			return err
		}
		wg := w.noted(load, ctx, d, &t)
		if err := w.strikeKinds(ctx); err != nil {
			return err
		}
		wg.Wait()
		w.note("%s", &t)
		if err := t.err(); err != nil {
			return err
		}
		return w.checkDelivered(d)
	},
}

// noted runs callers that ask for long completions and keep every event's id.
func (w *world) noted(load, ctx context.Context, d *deliveries, t *tally) *sync.WaitGroup {
	var wg sync.WaitGroup
	for i := range kindsCallers {
		wg.Go(func() {
			for n := 0; load.Err() == nil; n++ {
				q := question{key: ferrydemo.CustomerKey, at: i + n, prompt: fmt.Sprintf("caller %d asks long question %d", i, n), tokens: kindsTokens}
				var ids []string
				q.each = func(p ferrydemo.Chunk) {
					ids = append(ids, p.ID)
					if len(ids) == kindsCutAt {
						w.cutUnder(ctx, delivery{q, ids[len(ids)-1:]}, d.sealer)
					}
				}
				w.ask(ctx, q, t)
				d.add(delivery{q, ids})
			}
		})
	}
	return &wg
}

// strikeKinds brings the faults about, each on the engine that runs the most streams then.
func (w *world) strikeKinds(ctx context.Context) error {
	struck := map[*ferrydemo.Engine]bool{}
	time.Sleep(kindsFirst)
	killed := w.busiest(ctx, struck)
	killed.Process.Kill()
	frozen := w.busiest(ctx, struck)
	if err := w.freeze(frozen.Process, 2*kindsDown); err != nil {
		return err
	}
	time.Sleep(kindsDown)
	if err := w.StartEngine(ctx, killed); err != nil {
		return err
	}
	emptied := w.busiest(ctx, struck)
	for _, on := range []bool{true, false} {
		if err := w.PutJSON(ctx, "http://"+emptied.Address+"/admin/faults", map[string]any{"Empty": on}); err != nil {
			return err
		}
	}
	w.note("%s (%s) killed and started again, %s (%s) frozen, %s (%s) forgot its streams",
		killed.Name, killed.Accelerator, frozen.Name, frozen.Accelerator, emptied.Name, emptied.Accelerator)
	return nil
}

// cutUnder cuts the links of the engine that made the last token, whose KV cache stays where it is.
func (w *world) cutUnder(ctx context.Context, d delivery, s *ferrystream.Sealer) {
	stream, tokens, err := d.tokens(s)
	if err != nil {
		return
	}
	for _, e := range w.Engines {
		var records []ferrypipeline.Applied
		short, cancel := context.WithTimeout(ctx, kindsAsk)
		err := w.GetJSON(short, "http://"+e.Address+"/admin/records?stream="+string(stream), &records)
		cancel()
		if err != nil || len(records) == 0 {
			continue
		}
		last := records[len(records)-1]
		if last.Epoch == tokens[0].Epoch && last.Layer == ferrydemo.Layers-1 {
			e.Proxy.SetAll(ferryproxy.Cut{})
			e.Proxy.SetAll(e.Link())
			return
		}
	}
}

// busiest is the engine not struck yet that runs the most streams; it counts as struck then.
func (w *world) busiest(ctx context.Context, struck map[*ferrydemo.Engine]bool) *ferrydemo.Engine {
	var out *ferrydemo.Engine
	most := -1
	for _, e := range w.Engines {
		if struck[e] {
			continue
		}
		var load struct{ RunningStreams int }
		if err := w.GetJSON(ctx, "http://"+e.Address+"/v1/load", &load); err != nil {
			continue
		}
		if load.RunningStreams > most {
			out, most = e, load.RunningStreams
		}
	}
	struck[out] = true
	return out
}

// delivery is what one caller got: the ids of its stream's events.
type delivery struct {
	question
	ids []string
}

type deliveries struct {
	sealer *ferrystream.Sealer
	mu     sync.Mutex
	all    []delivery
}

// newDeliveries opens resume tokens with the fleet's own key.
func newDeliveries() (*deliveries, error) {
	key, err := hex.DecodeString(ferrydemo.SealKey)
	if err != nil {
		return nil, err
	}
	s, err := ferrystream.NewSealer(ferrystream.SealerConfig{Keys: [][]byte{key}, MaxAge: tokenAge, Clock: clockwork.NewRealClock()})
	return &deliveries{sealer: s}, err
}

func (d *deliveries) add(one delivery) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.all = append(d.all, one)
}

// tokens reads from the ids of a stream's events which epoch made each token.
func (d delivery) tokens(s *ferrystream.Sealer) (ferryid.StreamID, []ferrypipeline.Token, error) {
	digest := ferrystream.RequestDigest(d.prompt, d.question.tokens, uint64(d.at))
	var stream ferryid.StreamID
	var out []ferrypipeline.Token
	for _, id := range d.ids {
		r, err := s.Open(id, ferrydemo.Customer, ferrydemo.ModelService, digest)
		if err != nil {
			return "", nil, err
		}
		stream = r.Stream
		out = append(out, ferrypipeline.Token{Position: r.Next - 1, Epoch: r.Epoch})
	}
	return stream, out, nil
}

// checkDelivered holds every token that a caller got against all that all engines ever applied.
func (w *world) checkDelivered(d *deliveries) error {
	records, total, err := w.readJournals()
	if err != nil {
		return err
	}
	c := ferrypipeline.Checker{Layers: ferrydemo.Layers}
	tokens := 0
	for _, one := range d.all {
		stream, delivered, err := one.tokens(d.sealer)
		if err != nil {
			return err
		}
		if len(delivered) != kindsTokens {
			return fmt.Errorf("prompt %q: %d tokens have an id, not %d", one.prompt, len(delivered), kindsTokens)
		}
		if err := c.Check(records[stream], delivered); err != nil {
			return err
		}
		tokens += len(delivered)
	}
	w.note("%d streams, %d tokens, %d applications of a layer, each token's %d layers once and in order; %d wasted, %d to rebuild",
		len(d.all), tokens, total, ferrydemo.Layers, c.Wasted, c.Prefill)
	return w.countRecoveries(records)
}

// readJournals reads what every engine applied, also those that were killed.
func (w *world) readJournals() (map[ferryid.StreamID][]ferrypipeline.Applied, int, error) {
	out := map[ferryid.StreamID][]ferrypipeline.Applied{}
	total := 0
	for _, e := range w.Engines {
		b, err := os.ReadFile(filepath.Join(w.Journals, e.Name))
		if err != nil {
			return nil, 0, err
		}
		lines := bufio.NewScanner(bytes.NewReader(b))
		for lines.Scan() {
			var s ferrystandengine.Step
			if err := json.Unmarshal(lines.Bytes(), &s); err != nil {
				return nil, 0, fmt.Errorf("journal of %s: %w", e.Name, err)
			}
			out[s.Stream] = s.Append(out[s.Stream])
			total += s.N * s.Layers.Len()
		}
	}
	return out, total, nil
}

// countRecoveries counts the later epochs that went on from a moved KV cache and those that began with the history.
func (w *world) countRecoveries(records map[ferryid.StreamID][]ferrypipeline.Applied) error {
	moved, rebuilt := 0, 0
	for _, rs := range records {
		first := map[ferryid.Epoch]ferryid.Position{}
		for _, r := range rs {
			if p, ok := first[r.Epoch]; !ok || r.Position < p {
				first[r.Epoch] = r.Position
			}
		}
		for epoch, p := range first {
			switch {
			case p > 0:
				moved++
			case epoch > 1:
				rebuilt++
			}
		}
	}
	w.note("recoveries: %d by moving the KV cache, %d by rebuilding it", moved, rebuilt)
	if moved == 0 || rebuilt == 0 {
		return fmt.Errorf("not both ways of recovery were seen, so nothing was proved of one")
	}
	return nil
}
