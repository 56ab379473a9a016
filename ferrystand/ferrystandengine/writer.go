package ferrystandengine

import (
	"context"
	"net/http"
	"sync"
	"time"

	"cactusferry.dev/ferry/ferryengine"
)

// itemWriter writes items, and heartbeats in intervals without an item.
type itemWriter struct {
	e  *Engine
	rc *http.ResponseController

	mu    sync.Mutex
	w     http.ResponseWriter
	buf   []byte
	wrote bool
	muted bool
}

func newItemWriter(e *Engine, w http.ResponseWriter, rc *http.ResponseController) *itemWriter {
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	_ = rc.Flush()
	return &itemWriter{e: e, w: w, rc: rc}
}

// send writes an item after a delay.
func (o *itemWriter) send(it *ferryengine.Item, delay time.Duration) error {
	if delay > 0 {
		o.e.clock.Sleep(delay)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.buf = ferryengine.AppendItem(o.buf[:0], it)
	return o.write(o.buf)
}

// sendPartial writes the first half of an item's line.
func (o *itemWriter) sendPartial(it *ferryengine.Item) {
	o.mu.Lock()
	defer o.mu.Unlock()
	b := ferryengine.AppendItem(nil, it)
	_ = o.write(b[:len(b)/2])
}

func (o *itemWriter) write(b []byte) error {
	if o.muted {
		return nil
	}
	o.wrote = true
	if _, err := o.w.Write(b); err != nil {
		return err
	}
	return o.rc.Flush()
}

// mute discards all later writes.
func (o *itemWriter) mute() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.muted = true
}

// startHeartbeats writes an empty line in each interval without an item, until stop is called.
func (o *itemWriter) startHeartbeats(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	t := o.e.clock.NewTicker(heartbeatInterval)
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.Chan():
				o.sendHeartbeat()
			}
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

func (o *itemWriter) sendHeartbeat() {
	silent := o.e.currentFaults().Silent
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.wrote && !silent {
		_ = o.write([]byte{'\n'})
	}
	o.wrote = false
}
