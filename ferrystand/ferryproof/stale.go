package ferryproof

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"cactusferry.dev/ferrystand/ferrydemo"
)

const (
	staleCallers = 24
	staleTokens  = 30
	// staleChange is how many calls of a caller come to one change, since the fleet may make few calls to the platform.
	staleChange = 20
	stalePause  = 200 * time.Millisecond
	staleAfter  = 3 * time.Second
	staleLimit  = 40 * time.Second
)

var staleAnswers = Case{
	Name:    "stale",
	Promise: "a planned stop is not seen by callers that keep an entry list for as long as it says",
	Faults:  "an entry stopped with the default time of grace, while callers use the first entry of lists from the moment before and after, to the end of their lifetime, and try no other",
	size:    ferrydemo.Config{Engines: 4, Entries: 3, DefaultGrace: true},
	run: func(ctx context.Context, w *world) error {
		load, end := context.WithCancel(ctx)
		defer end()
		s := &staleUse{world: w, stopped: w.Entries[0]}
		var wg sync.WaitGroup
		for i := range staleCallers {
			wg.Go(func() { s.run(load, ctx, i) })
		}
		time.Sleep(time.Second)
		began := time.Now()
		s.mark()
		limited, cancel := context.WithTimeout(ctx, staleLimit)
		defer cancel()
		if err := s.stopped.Process.Terminate(limited); err != nil {
			return err
		}
		took := time.Since(began)
		time.Sleep(staleAfter)
		end()
		wg.Wait()
		w.note("the entry ended %s after its stop began; %s", took.Round(time.Millisecond), s)
		return s.err()
	},
}

// staleUse is what callers saw that keep their lists.
type staleUse struct {
	*world
	stopped *ferrydemo.Entry
	mu      sync.Mutex
	marked  bool
	calls   int
	// late counts calls to the stopped entry after its stop began, and oldest is the age of the oldest list that named it.
	late   int
	oldest time.Duration
	longer time.Duration
	wrong  []string
}

func (s *staleUse) mark() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.marked = true
}

func (s *staleUse) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d calls, %d of them to it after that, by lists up to %s old of at most %s; %d errors seen",
		s.calls, s.late, s.oldest.Round(time.Millisecond), s.longer, len(s.wrong))
}

func (s *staleUse) err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case len(s.wrong) > 0:
		return fmt.Errorf("%d errors seen, the first: %s", len(s.wrong), s.wrong[0])
	case s.late == 0:
		return fmt.Errorf("nobody called the stopping entry, so nothing was proved")
	}
	return nil
}

// entryList is an answer on which entries to use.
type entryList struct {
	Entries         []struct{ Address string }
	LifetimeSeconds int
	at              time.Time
}

func (l entryList) lifetime() time.Duration { return time.Duration(l.LifetimeSeconds) * time.Second }

// run makes one call after another to the first entry of the list, half of them streams, the others reads and now and then a change, until the load ends.
func (s *staleUse) run(load, ctx context.Context, caller int) {
	var list entryList
	for n := 0; load.Err() == nil; n++ {
		if time.Since(list.at) >= list.lifetime() {
			list = s.ask(ctx, 1+caller%2)
		}
		if len(list.Entries) == 0 {
			return
		}
		err := s.call(ctx, list.Entries[0].Address, caller, n)
		s.count(list, err)
		time.Sleep(stalePause)
	}
}

func (s *staleUse) ask(ctx context.Context, at int) entryList {
	list := entryList{at: time.Now()}
	c := s.Caller(s.Entries[at].Callers, ferrydemo.CustomerKey)
	status, _, body, err := c.Do(ctx, http.MethodGet, "/v1/entries?service="+ferrydemo.ModelService, "", nil)
	if err == nil && status == http.StatusOK {
		err = json.Unmarshal([]byte(body), &list)
	}
	if err != nil || len(list.Entries) == 0 {
		s.add(fmt.Sprintf("no entry list: status %d, %v, %s", status, err, body))
	}
	return list
}

func (s *staleUse) call(ctx context.Context, address string, caller, n int) error {
	c := s.Caller(address, ferrydemo.CustomerKey)
	if n%2 == 0 {
		q := question{at: caller, prompt: fmt.Sprintf("stale %d %d", caller, n), tokens: staleTokens}
		return c.Stream(ctx, q.body(), "", func(ferrydemo.Chunk) {})
	}
	const service = "/v1/services/" + ferrydemo.PlainService
	method, path, text, header := http.MethodGet, service+"/teat-cups/417", "", http.Header{}
	if n%staleChange == 1 {
		method, path, text = http.MethodPost, service+"/rations/417", ration
		header.Set("Idempotency-Key", fmt.Sprintf("stale-%d-%d", caller, n))
	}
	status, _, body, err := c.Do(ctx, method, path, text, header)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("status %d: %s", status, problemText(body))
	}
	return err
}

func (s *staleUse) count(list entryList, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	s.longer = max(s.longer, list.lifetime())
	if s.marked && list.Entries[0].Address == s.stopped.Callers {
		s.late++
		s.oldest = max(s.oldest, time.Since(list.at))
	}
	if err != nil {
		s.wrong = append(s.wrong, fmt.Sprintf("by a list %s old of %s: %v", time.Since(list.at).Round(time.Millisecond), list.lifetime(), err))
	}
}

func (s *staleUse) add(wrong string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wrong = append(s.wrong, wrong)
}
