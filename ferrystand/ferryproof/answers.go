package ferryproof

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"cactusferry.dev/ferrystand/ferrydemo"
	"cactusferry.dev/ferrystand/ferryproxy"
)

const (
	answersLoad = 12 * time.Second
	// silentAfterPieces is how many pieces a caller gets before its connection goes silent.
	silentAfterPieces = 10
)

var wholeAnswers = Case{
	Name:    "answers",
	Promise: "each caller gets the whole answer to its own request",
	Faults:  "an entry killed and one frozen and woken in mid-stream, a caller's connection silent for good; two customers, one tries to resume the other's streams",
	size:    ferrydemo.Config{Engines: 6, Entries: 3},
	run: func(ctx context.Context, w *world) error {
		load, end := context.WithTimeout(ctx, answersLoad)
		defer end()
		var t, other tally
		ids := &eventIDs{}
		wg := w.streams(load, ctx, loadCallers, loadTokens, &t)
		w.otherCustomer(load, ctx, wg, ids, &other)
		time.Sleep(answersLoad / 8)
		w.Entries[0].Process.Kill()
		w.note("%s killed", w.Entries[0].Name)
		time.Sleep(answersLoad / 8)
		if err := w.StartEntry(ctx, w.Entries[0]); err != nil {
			return err
		}
		if err := w.freeze(w.Entries[1].Process, answersLoad/2); err != nil {
			return err
		}
		if err := w.silentCaller(ctx, &t); err != nil {
			return err
		}
		if err := w.steal(ctx, ids); err != nil {
			return err
		}
		wg.Wait()
		w.note("%s", &t)
		w.note("the other customer: %s", &other)
		if t.resumed == 0 || other.whole == 0 {
			return fmt.Errorf("no stream was resumed or the other customer got nothing, so nothing was proved")
		}
		return errors.Join(t.err(), other.err())
	},
}

// eventIDs keeps ids of one customer's streams.
type eventIDs struct {
	mu   sync.Mutex
	last map[string]question
}

func (e *eventIDs) add(id string, q question) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.last == nil {
		e.last = map[string]question{}
	}
	e.last[id] = q
}

// otherCustomer asks the first customer's very questions as another customer, who gets streams of its own.
func (w *world) otherCustomer(load, ctx context.Context, wg *sync.WaitGroup, ids *eventIDs, t *tally) {
	wg.Go(func() {
		for n := 0; load.Err() == nil; n++ {
			q := question{key: ferrydemo.OtherKey, at: n, prompt: fmt.Sprintf("caller 0 asks question %d", n), tokens: loadTokens}
			own := q
			q.each = func(p ferrydemo.Chunk) { ids.add(p.ID, own) }
			w.ask(ctx, q, t)
		}
	})
}

// steal tries to resume the other customer's streams as the first one; each try must be refused.
func (w *world) steal(ctx context.Context, ids *eventIDs) error {
	ids.mu.Lock()
	defer ids.mu.Unlock()
	tries := 0
	for id, q := range ids.last {
		if tries == changes {
			break
		}
		tries++
		c := ferrydemo.Caller{Entry: w.Entries[0].Callers, Key: ferrydemo.CustomerKey}
		got := 0
		err := c.Stream(ctx, q.body(), id, func(ferrydemo.Chunk) { got++ })
		var s *ferrydemo.StatusError
		if got > 0 || !errors.As(err, &s) || s.Status != http.StatusForbidden {
			return fmt.Errorf("another customer's stream was not refused: %d pieces, %v", got, err)
		}
	}
	if tries == 0 {
		return fmt.Errorf("there was no stream to steal, so nothing was proved")
	}
	w.note("%d tries to resume another customer's stream, all refused", tries)
	return nil
}

// silentCaller reads a stream over a connection that goes silent for good, gives it up and resumes elsewhere.
func (w *world) silentCaller(ctx context.Context, t *tally) error {
	proxy, err := ferryproxy.New(ferryproxy.Config{Target: w.Entries[2].Callers})
	if err != nil {
		return err
	}
	defer proxy.Close()
	pieces, silenced := 0, 0
	q := question{key: ferrydemo.CustomerKey, at: 2, prompt: "a caller walks behind a wall", tokens: loadTokens, first: proxy.Address()}
	q.each = func(ferrydemo.Chunk) {
		pieces++
		if pieces == silentAfterPieces {
			silenced = proxy.Silence()
		}
	}
	w.ask(ctx, q, t)
	w.note("a caller's connection went silent after %d pieces (%d connections); it had %d in the end", silentAfterPieces, silenced, pieces)
	if silenced == 0 {
		return fmt.Errorf("no connection was silenced, so nothing was proved")
	}
	return nil
}

// freezer is a process that can be stopped and continued.
type freezer interface {
	Signal(s syscall.Signal) error
}

// freeze stops a process and continues it later.
func (w *world) freeze(p freezer, d time.Duration) error {
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.AfterFunc(d, func() { _ = p.Signal(syscall.SIGCONT) })
	w.note("one process frozen for %s", d)
	return nil
}
