package ferrystandengine

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"cactusferry.dev/ferry/ferryengine"
	"cactusferry.dev/ferry/ferryengine/ferryenginetest"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
)

const (
	prefillSpeedup = 16
	bytesPerToken  = 4
)

// run is one epoch of one stream on one stage.
type run struct {
	e       *Engine
	ctx     context.Context
	req     ferryengine.RunRequest
	layers  ferryid.LayerRange
	lines   *ferryengine.LineReader
	out     *itemWriter
	next    *hop
	receipt ferryengine.Receipt
	kv      []uint64
	time    ferryengine.StageTime
}

func (e *Engine) handleRun(w http.ResponseWriter, r *http.Request) {
	rc := http.NewResponseController(w)
	_ = rc.EnableFullDuplex()
	// A refusal leaves the request body unread, so the connection cannot be reused.
	w.Header().Set("Connection", "close")
	lines := ferryengine.NewRequestReader(r.Body)
	line, err := lines.Next()
	if err != nil {
		ferryoutcome.New(ferryoutcome.KindBadRequest, ferryoutcome.NotRun, "%v", err).Write(w)
		return
	}
	req, err := ferryengine.DecodeRunRequest(line)
	if err != nil {
		ferryoutcome.New(ferryoutcome.KindBadRequest, ferryoutcome.NotRun, "%v", err).Write(w)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	ru := &run{e: e, ctx: ctx, req: req, layers: req.Stages[0].Layers, lines: lines}
	ru.receipt = ferryengine.Receipt{Stage: req.Stages[0].Address, Layers: ru.layers}
	ru.time.Stage = ru.receipt.Stage
	if p := ru.accept(cancel); p != nil {
		p.Write(w)
		return
	}
	defer ru.release()
	w.Header().Del("Connection")
	ru.out = newItemWriter(e, w, rc)
	defer ru.out.startHeartbeats(ctx)()
	// A cancelled run must not block in a read from the previous stage.
	defer context.AfterFunc(ctx, func() { _ = rc.SetReadDeadline(time.Now()) })()
	err = ru.serve()
	var silent *silentError
	if errors.As(err, &silent) {
		ru.out.mute()
		e.holdOpen(r.Context(), e.lifetime())
	}
	if err != nil {
		ru.out.mute()
		abort(w)
		return
	}
	// The server cannot complete a full-duplex exchange before it has read the request body to its end.
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		ru.out.mute()
		abort(w)
	}
}

func (e *Engine) lifetime() context.Context {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.life
}

// accept registers the epoch, or returns the reason for its refusal; a refused epoch has not run.
func (ru *run) accept(cancel context.CancelFunc) *ferryoutcome.Problem {
	e, req := ru.e, &ru.req
	e.mu.Lock()
	defer e.mu.Unlock()
	want, named := req.Incarnations[req.Stages[0].Address]
	switch {
	case e.leaving || e.faults.Leaving:
		return ferryoutcome.New(ferryoutcome.KindDraining, ferryoutcome.NotRun, "the engine is leaving")
	case named && want != e.incarnation:
		return ferryoutcome.New(ferryoutcome.KindNotFound, ferryoutcome.NotRun, "this is incarnation %s", e.incarnation)
	case ru.layers.From < e.layers.From || ru.layers.To > e.layers.To:
		return ferryoutcome.New(ferryoutcome.KindUnavailable, ferryoutcome.NotRun, "the engine holds layers %s", e.layers)
	}
	st := e.streams.get(req.Stream)
	if req.Epoch <= st.epoch {
		return ferryoutcome.New(ferryoutcome.KindConflict, ferryoutcome.NotRun, "epoch %d was seen", st.epoch)
	}
	if st.cancel != nil && !e.faults.LateFromOldEpoch {
		st.cancel()
	}
	st.epoch = req.Epoch
	st.cancel = cancel
	st.left = req.MaxTokens - len(req.Generated)
	if req.Import && st.layers == ru.layers {
		ru.kv = append(ru.kv, st.kv...)
	}
	st.layers = ru.layers
	st.kv = nil
	return nil
}

func (ru *run) release() {
	e := ru.e
	e.mu.Lock()
	defer e.mu.Unlock()
	if st, ok := e.streams.byID[ru.req.Stream]; ok && st.epoch == ru.req.Epoch {
		st.left = 0
		st.cancel = nil
	}
}

func (ru *run) isFirst() bool { return ru.layers.From == 0 }

func (ru *run) isLast() bool { return len(ru.req.Stages) == 1 }

func (ru *run) serve() error {
	done, err := ru.e.sched.slot(ru.ctx, ru.req.Priority)
	if err != nil {
		return err
	}
	defer done()
	if ru.req.Import && !ru.truncate() {
		return ru.fail(ru.receipt.Stage, ferryengine.FailureEmpty, "the KV cache is not here")
	}
	if !ru.isLast() {
		if failed := ru.openNext(); failed != nil {
			return ru.out.send(&ferryengine.Item{Epoch: ru.req.Epoch, Failed: failed}, 0)
		}
		defer ru.next.close()
	}
	if err := ru.out.send(&ferryengine.Item{Epoch: ru.req.Epoch, Ready: true}, 0); err != nil {
		return err
	}
	if ru.isFirst() {
		return ru.runFirst()
	}
	return ru.runLater()
}

// truncate shortens the KV cache to the length of the history. It reports false if the cache is shorter.
func (ru *run) truncate() bool {
	want := len(ru.req.Generated) * ru.layers.Len()
	if len(ru.kv) < want {
		return false
	}
	ru.kv = ru.kv[:want]
	return true
}

func (ru *run) fail(stage string, kind ferryengine.FailureKind, detail string) error {
	f := &ferryengine.Failure{Stage: stage, Kind: kind, Detail: detail}
	return ru.out.send(&ferryengine.Item{Epoch: ru.req.Epoch, Failed: f}, 0)
}

// silentError reports that a silence fault applies to the run.
type silentError struct{}

func (*silentError) Error() string { return "run silenced by an injected fault" }

// apply applies the stage's layers to consecutive history elements, of which only the last yields a token.
func (ru *run) apply(from ferryid.Position, states []uint64) error {
	p := from + ferryid.Position(len(states)-1)
	f := ru.e.currentFaults()
	if f.Silent || matches(f.SilentAtPosition, p) {
		return &silentError{}
	}
	if matches(f.DieAtPosition, p) && f.DieWhen == DieBeforeApply {
		return ru.e.crash()
	}
	cost := ru.cost(f, from, len(states))
	if err := ru.e.sched.step(ru.ctx, ru.req.Priority, cost); err != nil {
		return err
	}
	if len(states) == 1 && from > 0 {
		ru.time.Steps++
		ru.time.BusyMicros += cost.Microseconds()
	}
	ru.time.Prefill += len(states) - 1
	for i, x := range states {
		base := len(ru.kv) - ru.layers.Len()
		for l := ru.layers.From; l < ru.layers.To; l++ {
			kv := uint64(0)
			if base >= 0 {
				kv = ru.kv[base+int(l-ru.layers.From)]
			}
			x, kv = ferryenginetest.ApplyLayer(l, x, kv)
			ru.kv = append(ru.kv, kv)
		}
		states[i] = x
	}
	if err := ru.record(from, len(states), f); err != nil {
		return err
	}
	if matches(f.DieAtPosition, p) && f.DieWhen == DieAfterApply {
		return ru.e.crash()
	}
	return nil
}

var errNoStream = errors.New("the stream is not here")

// record records the step. It returns an error if the engine
// no longer has the stream or the epoch was cancelled.
func (ru *run) record(from ferryid.Position, n int, f Faults) error {
	e := ru.e
	e.mu.Lock()
	defer e.mu.Unlock()
	st, ok := e.streams.byID[ru.req.Stream]
	if !ok || f.Empty || matches(f.EmptyAtPosition, from+ferryid.Position(n-1)) {
		return errNoStream
	}
	if ru.req.Epoch <= st.cancelled {
		return context.Canceled
	}
	s := Step{
		Stream: ru.req.Stream, Epoch: ru.req.Epoch, From: from, N: n,
		Layers: ru.layers, AtNanos: time.Now().UnixNano(),
	}
	e.records.add(s)
	if e.cfg.Journal != nil {
		if err := json.NewEncoder(e.cfg.Journal).Encode(s); err != nil {
			return err
		}
	}
	if st.epoch == ru.req.Epoch {
		st.ran = true
		st.kv = ru.kv
		st.left--
	}
	return nil
}

func (ru *run) cost(f Faults, from ferryid.Position, n int) time.Duration {
	rate := ru.e.cfg.TokensPerSecond
	if f.TokensPerSecond > 0 {
		rate = f.TokensPerSecond
	}
	if rate <= 0 {
		return 0
	}
	tokens := 1 + float64(n-1)/prefillSpeedup
	if from == 0 {
		tokens += float64(ru.uncached()) / prefillSpeedup
	}
	ru.e.mu.Lock()
	share := float64(ru.layers.Len()) / float64(max(1, ru.e.layers.Len()))
	ru.e.mu.Unlock()
	return time.Duration(tokens * share / float64(rate) * float64(time.Second))
}

// uncached returns the number of the prompt's tokens that were not in the prefix cache, and caches them.
func (ru *run) uncached() int {
	e := ru.e
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(0, len(ru.req.Prompt)/bytesPerToken-e.cache.use(ru.req.Prompt, e.clock.Now()))
}
