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
	answersLoadTime = 12 * time.Second
	// silentAfterChunks is the number of chunks a caller receives before its connection goes silent.
	silentAfterChunks = 10
)

var completeAnswers = Case{
	Name:      "answers",
	Guarantee: "each caller receives the complete answer to its own request",
	Faults:    "one entry killed and one frozen and resumed mid-stream; a caller's connection permanently silent; two customers, one tries to resume the other's streams",
	size:      ferrydemo.Config{Engines: 6, Entries: 3},
	run: func(ctx context.Context, h *harness) error {
		load, end := context.WithTimeout(ctx, answersLoadTime)
		defer end()
		var t, other tally
		ids := &eventIDs{}
		wg := h.startStreams(load, ctx, loadCallers, loadTokens, &t)
		h.streamAsOtherCustomer(load, ctx, wg, ids, &other)
		time.Sleep(answersLoadTime / 8)
		h.Entries[0].Process.Kill()
		h.note("%s killed", h.Entries[0].Name)
		time.Sleep(answersLoadTime / 8)
		if err := h.StartEntry(ctx, h.Entries[0]); err != nil {
			return err
		}
		if err := h.freeze(h.Entries[1].Process, answersLoadTime/2); err != nil {
			return err
		}
		if err := h.streamOverSilentConnection(ctx, &t); err != nil {
			return err
		}
		if err := h.resumeForeignStreams(ctx, ids); err != nil {
			return err
		}
		wg.Wait()
		h.note("%s", &t)
		h.note("the other customer: %s", &other)
		if t.resumed == 0 || other.complete == 0 {
			return fmt.Errorf("inconclusive: no stream was resumed, or the other customer received no answer")
		}
		return errors.Join(t.err(), other.err())
	},
}

// eventIDs records the event IDs of one customer's streams, with the request of each.
type eventIDs struct {
	mu   sync.Mutex
	last map[string]completion
}

func (e *eventIDs) add(id string, q completion) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.last == nil {
		e.last = map[string]completion{}
	}
	e.last[id] = q
}

// streamAsOtherCustomer sends the same requests as the first customer
// with another customer's key, which starts separate streams.
func (h *harness) streamAsOtherCustomer(load, ctx context.Context, wg *sync.WaitGroup, ids *eventIDs, t *tally) {
	wg.Go(func() {
		for n := 0; load.Err() == nil; n++ {
			q := completion{key: ferrydemo.OtherCustomerKey, index: n, prompt: fmt.Sprintf("caller 0 asks question %d", n), tokens: loadTokens}
			own := q
			q.onChunk = func(p ferrydemo.Chunk) { ids.add(p.ID, own) }
			h.requestCompletion(ctx, q, t)
		}
	})
}

// resumeForeignStreams tries to resume the other customer's streams
// with the first customer's key; each attempt must be refused.
func (h *harness) resumeForeignStreams(ctx context.Context, ids *eventIDs) error {
	ids.mu.Lock()
	defer ids.mu.Unlock()
	tries := 0
	for id, q := range ids.last {
		if tries == burstKeys {
			break
		}
		tries++
		c := ferrydemo.Caller{Entry: h.Entries[0].CallerAddress, Key: ferrydemo.CustomerKey}
		got := 0
		err := c.Stream(ctx, q.body(), id, func(ferrydemo.Chunk) { got++ })
		var s *ferrydemo.StatusError
		if got > 0 || !errors.As(err, &s) || s.Status != http.StatusForbidden {
			return fmt.Errorf("resuming another customer's stream: expected status 403, got %d chunks and error %v", got, err)
		}
	}
	if tries == 0 {
		return fmt.Errorf("inconclusive: no stream of the other customer to resume")
	}
	h.note("%d attempts to resume another customer's stream, all refused", tries)
	return nil
}

// streamOverSilentConnection reads a stream over a connection that goes
// silent, and resumes it at another entry after the idle timeout.
func (h *harness) streamOverSilentConnection(ctx context.Context, t *tally) error {
	proxy, err := ferryproxy.New(ferryproxy.Config{Target: h.Entries[2].CallerAddress})
	if err != nil {
		return err
	}
	defer proxy.Close()
	chunks, silenced := 0, 0
	q := completion{key: ferrydemo.CustomerKey, index: 2, prompt: "a caller walks behind a wall", tokens: loadTokens, firstAddress: proxy.Address()}
	q.onChunk = func(ferrydemo.Chunk) {
		chunks++
		if chunks == silentAfterChunks {
			silenced = proxy.Silence()
		}
	}
	h.requestCompletion(ctx, q, t)
	h.note("a caller's connection went silent after %d chunks (%d connections); the caller received %d chunks in total", silentAfterChunks, silenced, chunks)
	if silenced == 0 {
		return fmt.Errorf("inconclusive: no connection was silenced")
	}
	return nil
}

// signaler is a process that accepts SIGSTOP and SIGCONT.
type signaler interface {
	Signal(s syscall.Signal) error
}

// freeze sends SIGSTOP to a process, and SIGCONT after d.
func (h *harness) freeze(p signaler, d time.Duration) error {
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.AfterFunc(d, func() { _ = p.Signal(syscall.SIGCONT) })
	h.note("a process is frozen for %s", d)
	return nil
}
