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
	// staleChangeEvery is the number of calls per POST of a caller.
	// A POST costs calls to the platform, whose rate is limited.
	staleChangeEvery = 20
	staleInterval    = 200 * time.Millisecond
	staleTailTime    = 3 * time.Second
	staleLimit       = 40 * time.Second
)

var staleAnswers = Case{
	Name:      "stale",
	Guarantee: "a planned stop causes no errors for callers that cache an entry list for its lifetime",
	Faults:    "an entry stopped with the default grace period, while callers use only the first entry of lists fetched before and after, to the end of their lifetime",
	size:      ferrydemo.Config{Engines: 4, Entries: 3, DefaultGrace: true},
	run: func(ctx context.Context, h *harness) error {
		load, end := context.WithCancel(ctx)
		defer end()
		s := &staleLoad{harness: h, stopped: h.Entries[0]}
		var wg sync.WaitGroup
		for i := range staleCallers {
			wg.Go(func() { s.run(load, ctx, i) })
		}
		time.Sleep(time.Second)
		began := time.Now()
		s.setStopping()
		limited, cancel := context.WithTimeout(ctx, staleLimit)
		defer cancel()
		if err := s.stopped.Process.Terminate(limited); err != nil {
			return err
		}
		took := time.Since(began)
		time.Sleep(staleTailTime)
		end()
		wg.Wait()
		h.note("the entry exited %s after its stop began; %s", took.Round(time.Millisecond), s)
		return s.err()
	},
}

// staleLoad is a load of callers that cache their entry lists, with its results.
type staleLoad struct {
	*harness
	stopped  *ferrydemo.Entry
	mu       sync.Mutex
	stopping bool
	calls    int
	// late counts calls to the stopped entry after its stop began.
	// oldest is the age of the oldest list used for such a call,
	// and maxLifetime the longest lifetime of any list.
	late        int
	oldest      time.Duration
	maxLifetime time.Duration
	failures    []string
}

func (s *staleLoad) setStopping() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
}

func (s *staleLoad) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d calls, %d of them to it after that, by lists up to %s old of at most %s; %d errors seen",
		s.calls, s.late, s.oldest.Round(time.Millisecond), s.maxLifetime, len(s.failures))
}

func (s *staleLoad) err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case len(s.failures) > 0:
		return fmt.Errorf("%d errors, the first: %s", len(s.failures), s.failures[0])
	case s.late == 0:
		return fmt.Errorf("inconclusive: no call to the stopping entry after its stop began")
	}
	return nil
}

// entryList is the answer of /v1/entries, and when it was requested.
type entryList struct {
	Entries         []struct{ Address string }
	LifetimeSeconds int
	at              time.Time
}

func (l entryList) lifetime() time.Duration { return time.Duration(l.LifetimeSeconds) * time.Second }

// run calls the first entry of the list until the load ends. Every second call
// is a stream, the others are reads, with a POST once in staleChangeEvery calls.
func (s *staleLoad) run(load, ctx context.Context, caller int) {
	var list entryList
	for n := 0; load.Err() == nil; n++ {
		if time.Since(list.at) >= list.lifetime() {
			list = s.fetchList(ctx, 1+caller%2)
		}
		if len(list.Entries) == 0 {
			return
		}
		err := s.call(ctx, list.Entries[0].Address, caller, n)
		s.record(list, err)
		time.Sleep(staleInterval)
	}
}

func (s *staleLoad) fetchList(ctx context.Context, at int) entryList {
	list := entryList{at: time.Now()}
	c := s.Caller(s.Entries[at].CallerAddress, ferrydemo.CustomerKey)
	status, _, body, err := c.Do(ctx, http.MethodGet, "/v1/entries?service="+ferrydemo.ModelService, "", nil)
	if err == nil && status == http.StatusOK {
		err = json.Unmarshal([]byte(body), &list)
	}
	if err != nil || len(list.Entries) == 0 {
		s.addFailure(fmt.Sprintf("fetch entry list: status %d, %v, %s", status, err, body))
	}
	return list
}

func (s *staleLoad) call(ctx context.Context, address string, caller, n int) error {
	c := s.Caller(address, ferrydemo.CustomerKey)
	if n%2 == 0 {
		q := completion{index: caller, prompt: fmt.Sprintf("stale %d %d", caller, n), tokens: staleTokens}
		return c.Stream(ctx, q.body(), "", func(ferrydemo.Chunk) {})
	}
	const service = "/v1/services/" + ferrydemo.PlainService
	method, path, text, header := http.MethodGet, service+"/teat-cups/417", "", http.Header{}
	if n%staleChangeEvery == 1 {
		method, path, text = http.MethodPost, service+"/rations/417", ration
		header.Set("Idempotency-Key", fmt.Sprintf("stale-%d-%d", caller, n))
	}
	status, _, body, err := c.Do(ctx, method, path, text, header)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("status %d: %s", status, problemText(body))
	}
	return err
}

func (s *staleLoad) record(list entryList, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	s.maxLifetime = max(s.maxLifetime, list.lifetime())
	if s.stopping && list.Entries[0].Address == s.stopped.CallerAddress {
		s.late++
		s.oldest = max(s.oldest, time.Since(list.at))
	}
	if err != nil {
		s.failures = append(s.failures, fmt.Sprintf("with a list %s old and a lifetime of %s: %v", time.Since(list.at).Round(time.Millisecond), list.lifetime(), err))
	}
}

func (s *staleLoad) addFailure(failure string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = append(s.failures, failure)
}
