package ferrystandengine

import (
	"encoding/json"
	"errors"
	"io"

	"cactusferry.dev/ferry/ferryengine"
	"cactusferry.dev/ferry/ferryengine/ferryenginetest"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
)

const hopBuffer = 4

// hop is the connection to the next stage of the chain.
type hop struct {
	stage  string
	w      *io.PipeWriter
	stream ferryengine.Stream
	items  chan hopItem
	stop   chan struct{}
}

type hopItem struct {
	item ferryengine.Item
	err  error
}

// openNext connects to the next stage and waits until all later stages are ready.
func (ru *run) openNext() *ferryengine.Failure {
	req := ru.req
	req.Stages = req.Stages[1:]
	stage := req.Stages[0].Address
	pr, pw := io.Pipe()
	s, err := ru.e.client.Forward(ru.ctx, req, pr)
	if err != nil {
		_ = pw.Close()
		return failureOf(stage, err)
	}
	ru.next = &hop{stage: stage, w: pw, stream: s, items: make(chan hopItem, hopBuffer), stop: make(chan struct{})}
	go ru.next.read()
	it, failed := ru.next.receive()
	if failed == nil && !it.Ready {
		failed = &ferryengine.Failure{Stage: stage, Kind: ferryengine.FailureDied, Detail: "the next stage did not start"}
	}
	if failed != nil {
		ru.next.close()
	}
	return failed
}

func failureOf(stage string, err error) *ferryengine.Failure {
	f := &ferryengine.Failure{Stage: stage, Kind: ferryengine.FailureDied, Detail: err.Error()}
	var refused *ferryengine.RefusedError
	if errors.As(err, &refused) {
		f.Kind = ferryengine.FailureRefused
		switch refused.Kind {
		case ferryoutcome.KindDraining:
			f.Kind = ferryengine.FailureDraining
		case ferryoutcome.KindNotFound:
			f.Kind = ferryengine.FailureEmpty
		}
	}
	return f
}

// read reads items continuously, so that heartbeats reset the
// idle timeout also while no item is requested.
func (h *hop) read() {
	for {
		it, err := h.stream.Next()
		select {
		case h.items <- hopItem{it, err}:
		case <-h.stop:
			return
		}
		if err != nil {
			return
		}
	}
}

func (h *hop) receive() (ferryengine.Item, *ferryengine.Failure) {
	in := <-h.items
	switch {
	case in.err != nil:
		return in.item, failureOf(h.stage, in.err)
	case in.item.Failed != nil:
		return in.item, in.item.Failed
	}
	return in.item, nil
}

func (h *hop) close() {
	_ = h.w.Close()
	close(h.stop)
	_ = h.stream.Close()
}

// finish closes the request body and reads the answer to its end, so that the
// connection can be reused. It returns the stage times of the later stages.
func (h *hop) finish() []ferryengine.StageTime {
	_ = h.w.Close()
	for in := range h.items {
		if in.err != nil || in.item.Done || in.item.Failed != nil {
			return in.item.Times
		}
	}
	return nil
}

// end finishes the epoch on this stage and the later ones, and sends the last item.
func (ru *run) end() error {
	it := ferryengine.Item{Epoch: ru.req.Epoch, Done: true, Reason: "length", Times: []ferryengine.StageTime{ru.time}}
	if ru.isFirst() {
		it.Tokens = ru.req.MaxTokens - len(ru.req.Generated)
	}
	if ru.next != nil {
		it.Times = append(it.Times, ru.next.finish()...)
	}
	return ru.out.send(&it, 0)
}

// runFirst runs the first stage: it feeds the history and then every generated token into the chain.
func (ru *run) runFirst() error {
	req := &ru.req
	p := ferryid.Position(len(req.Generated))
	states := ru.history()
	for ; int(p) < req.MaxTokens; p++ {
		from := p - ferryid.Position(len(states)-1)
		text, err := ru.step(from, states)
		if err != nil || text == "" {
			return err
		}
		states = append(states[:0], ferryenginetest.TokenElement(req.Seed, p+1, text))
	}
	return ru.end()
}

// history returns the elements that are not in the KV cache, up to the one that yields the next token.
func (ru *run) history() []uint64 {
	req := &ru.req
	from := 0
	if req.Import {
		from = len(req.Generated)
	}
	states := make([]uint64, 0, len(req.Generated)-from+1)
	for i := from; i <= len(req.Generated); i++ {
		if i == 0 {
			states = append(states, ferryenginetest.PromptElement(req.Seed, req.Prompt))
			continue
		}
		states = append(states, ferryenginetest.TokenElement(req.Seed, ferryid.Position(i), req.Generated[i-1]))
	}
	return states
}

// runLater runs a later stage: it applies its layers to the activations received from the previous stage.
func (ru *run) runLater() error {
	for {
		line, err := ru.lines.Next()
		if errors.Is(err, io.EOF) {
			return ru.end()
		}
		if err != nil {
			return err
		}
		a, err := ferryengine.DecodeActivations(line)
		if err != nil {
			return err
		}
		text, err := ru.step(a.From, a.States)
		if err != nil || text == "" {
			return err
		}
	}
}

// step runs elements through this stage and the later ones and sends the token to the previous
// stage. An empty text without an error means that the epoch failed and the failure was sent.
func (ru *run) step(from ferryid.Position, states []uint64) (string, error) {
	p := from + ferryid.Position(len(states)-1)
	began := ru.e.clock.Now()
	defer func() { ru.time.HeldMicros += ru.e.clock.Since(began).Microseconds() }()
	err := ru.apply(from, states)
	if errors.Is(err, errNoStream) {
		return "", ru.fail(ru.receipt.Stage, ferryengine.FailureEmpty, err.Error())
	}
	if err != nil {
		return "", err
	}
	if ru.isLast() {
		it := ferryengine.Item{Epoch: ru.req.Epoch, Position: p, Text: ferryenginetest.Word(states[len(states)-1])}
		return it.Text, ru.answer(&it)
	}
	line, err := json.Marshal(ferryengine.Activations{From: from, States: states})
	if err != nil {
		return "", err
	}
	sent := ru.e.clock.Now()
	if _, err := ru.next.w.Write(append(line, '\n')); err != nil {
		return "", ru.fail(ru.next.stage, ferryengine.FailureDied, err.Error())
	}
	for {
		it, failed := ru.next.receive()
		if failed != nil {
			return "", ru.out.send(&ferryengine.Item{Epoch: ru.req.Epoch, Failed: failed}, 0)
		}
		if it.Epoch == ru.req.Epoch && it.Position == p && it.Text != "" {
			ru.time.HopMicros += ru.e.clock.Since(sent).Microseconds()
			return it.Text, ru.answer(&it)
		}
	}
}

// answer adds this stage's receipt to a token and sends it to the previous stage.
func (ru *run) answer(it *ferryengine.Item) error {
	it.Receipts = append([]ferryengine.Receipt{ru.receipt}, it.Receipts...)
	f := ru.e.currentFaults()
	if matches(f.DieAtPosition, it.Position) && f.DieWhen == DieInLine {
		ru.out.sendPartial(it)
		return ru.e.crash()
	}
	if f.LateFromOldEpoch && it.Epoch > 1 {
		old := *it
		old.Epoch--
		old.Text = " late"
		if err := ru.out.send(&old, 0); err != nil {
			return err
		}
	}
	if err := ru.out.send(it, f.delay()); err != nil {
		return err
	}
	if f.Duplicate {
		return ru.out.send(it, 0)
	}
	return nil
}
