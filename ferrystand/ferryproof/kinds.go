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
	kindsLoadTime = 9 * time.Second
	kindsCallers  = 12
	// kindsTokens exceeds the length from which a KV cache is moved instead of rebuilt.
	kindsTokens     = 420
	kindsFirstFault = 1500 * time.Millisecond
	kindsDownTime   = 1500 * time.Millisecond
	// kindsCutAt is the number of tokens of a stream after which its last engine's links are cut.
	kindsCutAt          = 300
	kindsRecordsTimeout = 200 * time.Millisecond
	tokenMaxAge         = time.Hour
)

var kinds = Case{
	Name:      "kinds",
	Guarantee: "every layer runs once for each token, in order, on engines of eight kinds",
	Faults:    "rates and link delays that differ by a factor of 100; of the busiest engines one killed and restarted empty, one frozen and resumed, one that loses its streams; links cut during streams with 300 tokens",
	size:      ferrydemo.Config{Engines: 16, Entries: 3, EightKinds: true, EngineProxies: true},
	journals:  true,
	run: func(ctx context.Context, h *harness) error {
		load, end := context.WithTimeout(ctx, kindsLoadTime)
		defer end()
		var t tally
		d, err := newDeliveries()
		if err != nil {
			return err
		}
		wg := h.startRecordedStreams(load, ctx, d, &t)
		if err := h.injectEngineFaults(ctx); err != nil {
			return err
		}
		wg.Wait()
		h.note("%s", &t)
		if err := t.err(); err != nil {
			return err
		}
		return h.checkDeliveries(d)
	},
}

// startRecordedStreams runs callers that request long completions and record the ID of every event.
func (h *harness) startRecordedStreams(load, ctx context.Context, d *deliveries, t *tally) *sync.WaitGroup {
	var wg sync.WaitGroup
	for i := range kindsCallers {
		wg.Go(func() {
			for n := 0; load.Err() == nil; n++ {
				q := completion{key: ferrydemo.CustomerKey, index: i + n, prompt: fmt.Sprintf("caller %d asks long question %d", i, n), tokens: kindsTokens}
				var ids []string
				q.onChunk = func(p ferrydemo.Chunk) {
					ids = append(ids, p.ID)
					if len(ids) == kindsCutAt {
						h.cutLastEngine(ctx, delivery{q, ids[len(ids)-1:]}, d.sealer)
					}
				}
				h.requestCompletion(ctx, q, t)
				d.add(delivery{q, ids})
			}
		})
	}
	return &wg
}

// injectEngineFaults injects the faults, each into the engine that currently runs the most streams.
func (h *harness) injectEngineFaults(ctx context.Context) error {
	faulted := map[*ferrydemo.Engine]bool{}
	time.Sleep(kindsFirstFault)
	killed := h.busiest(ctx, faulted)
	killed.Process.Kill()
	frozen := h.busiest(ctx, faulted)
	if err := h.freeze(frozen.Process, 2*kindsDownTime); err != nil {
		return err
	}
	time.Sleep(kindsDownTime)
	if err := h.StartEngine(ctx, killed); err != nil {
		return err
	}
	emptied := h.busiest(ctx, faulted)
	for _, on := range []bool{true, false} {
		if err := h.PutJSON(ctx, "http://"+emptied.Address+"/admin/faults", map[string]any{"Empty": on}); err != nil {
			return err
		}
	}
	h.note("%s (%s) killed and restarted, %s (%s) frozen, %s (%s) lost its streams",
		killed.Name, killed.Accelerator, frozen.Name, frozen.Accelerator, emptied.Name, emptied.Accelerator)
	return nil
}

// cutLastEngine cuts the links of the engine that produced
// the stream's last token; its KV cache stays intact.
func (h *harness) cutLastEngine(ctx context.Context, d delivery, s *ferrystream.Sealer) {
	stream, tokens, err := d.tokens(s)
	if err != nil {
		return
	}
	for _, e := range h.Engines {
		var records []ferrypipeline.Applied
		short, cancel := context.WithTimeout(ctx, kindsRecordsTimeout)
		err := h.GetJSON(short, "http://"+e.Address+"/admin/records?stream="+string(stream), &records)
		cancel()
		if err != nil || len(records) == 0 {
			continue
		}
		last := records[len(records)-1]
		if last.Epoch == tokens[0].Epoch && last.Layer == ferrydemo.Layers-1 {
			e.Proxy.SetAll(ferryproxy.Cut{})
			e.Proxy.SetAll(e.LinkFault())
			return
		}
	}
}

// busiest returns the engine without a fault so far that runs the most streams, and adds it to faulted.
func (h *harness) busiest(ctx context.Context, faulted map[*ferrydemo.Engine]bool) *ferrydemo.Engine {
	var out *ferrydemo.Engine
	most := -1
	for _, e := range h.Engines {
		if faulted[e] {
			continue
		}
		var load struct{ RunningStreams int }
		if err := h.GetJSON(ctx, "http://"+e.Address+"/v1/load", &load); err != nil {
			continue
		}
		if load.RunningStreams > most {
			out, most = e, load.RunningStreams
		}
	}
	faulted[out] = true
	return out
}

// delivery is one request with the event IDs that its caller received.
type delivery struct {
	completion
	ids []string
}

type deliveries struct {
	sealer *ferrystream.Sealer
	mu     sync.Mutex
	all    []delivery
}

// newDeliveries returns an empty record that opens resume tokens with the fleet's seal key.
func newDeliveries() (*deliveries, error) {
	key, err := hex.DecodeString(ferrydemo.SealKey)
	if err != nil {
		return nil, err
	}
	s, err := ferrystream.NewSealer(ferrystream.SealerConfig{Keys: [][]byte{key}, MaxAge: tokenMaxAge, Clock: clockwork.NewRealClock()})
	return &deliveries{sealer: s}, err
}

func (d *deliveries) add(one delivery) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.all = append(d.all, one)
}

// tokens decodes the event IDs, which are resume tokens, to
// the stream's ID and the position and epoch of each token.
func (d delivery) tokens(s *ferrystream.Sealer) (ferryid.StreamID, []ferrypipeline.Token, error) {
	digest := ferrystream.RequestDigest(d.prompt, d.completion.tokens, uint64(d.index))
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

// checkDeliveries checks every token that a caller received
// against the layers that the engines recorded as applied.
func (h *harness) checkDeliveries(d *deliveries) error {
	records, total, err := h.readJournals()
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
			return fmt.Errorf("prompt %q: got %d tokens with an event ID, expected %d", one.prompt, len(delivered), kindsTokens)
		}
		if err := c.Check(records[stream], delivered); err != nil {
			return err
		}
		tokens += len(delivered)
	}
	h.note("%d streams, %d tokens, %d layer applications, each token's %d layers once and in order; %d wasted, %d for rebuilding KV caches",
		len(d.all), tokens, total, ferrydemo.Layers, c.Wasted, c.Prefill)
	return h.countRecoveries(records)
}

// readJournals returns the applied layers by stream from the journals
// of all engines, including killed ones, and their number.
func (h *harness) readJournals() (map[ferryid.StreamID][]ferrypipeline.Applied, int, error) {
	out := map[ferryid.StreamID][]ferrypipeline.Applied{}
	total := 0
	for _, e := range h.Engines {
		b, err := os.ReadFile(filepath.Join(h.Journals, e.Name))
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

// countRecoveries counts the later epochs that continued from
// a moved KV cache and those that rebuilt it from the history.
func (h *harness) countRecoveries(records map[ferryid.StreamID][]ferrypipeline.Applied) error {
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
	h.note("recoveries: %d by moving the KV cache, %d by rebuilding it", moved, rebuilt)
	if moved == 0 || rebuilt == 0 {
		return fmt.Errorf("inconclusive: only one of the two ways of recovery occurred")
	}
	return nil
}
