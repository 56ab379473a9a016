package ferryload

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
	"cactusferry.dev/ferrybench/ferryworkload"
)

// fakeEntry is an HTTP handler with the API of an entry. It refuses the first refusals streams, and truncates
// the others if truncate is set.
type fakeEntry struct {
	mu               sync.Mutex
	steeringRequests int
	authorizations   map[string]int
	idempotencyKeys  map[string]int
	refusals         int
	truncate         bool
	address          string
}

func (f *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	f.authorizations[r.Header.Get("Authorization")]++
	f.mu.Unlock()
	switch {
	case r.URL.Path == "/v1/entries":
		f.mu.Lock()
		f.steeringRequests++
		f.mu.Unlock()
		fmt.Fprintf(w, `{"Entries":[{"Name":"a","Address":%q}],"LifetimeSeconds":3600}`, f.address)
	case strings.HasPrefix(r.URL.Path, "/v1/services/"):
		f.mu.Lock()
		f.idempotencyKeys[r.Header.Get("Idempotency-Key")]++
		f.mu.Unlock()
		fmt.Fprint(w, "ok")
	case f.refuse():
		ferryoutcome.New(ferryoutcome.KindOverloaded, ferryoutcome.NotRun, "full").Write(w)
	case f.truncate:
		fmt.Fprint(w, "data: {\"x\":1}\n\n")
	default:
		fmt.Fprint(w, ": ping\n\ndata: {\"x\":1}\n\ndata: {\"x\":2}\n\ndata: [DONE]\n\n")
	}
}

func (f *fakeEntry) refuse() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refusals--
	return f.refusals >= 0
}

func runLoad(t *testing.T, f *fakeEntry, kinds ferryworkload.Kinds) *Summary {
	t.Helper()
	f.authorizations, f.idempotencyKeys = map[string]int{}, map[string]int{}
	srv := httptest.NewServer(f)
	t.Cleanup(srv.Close)
	f.address = strings.TrimPrefix(srv.URL, "http://")
	w := &ferryworkload.Workload{
		Name: "t", Kinds: kinds, Duration: ferryworkload.Duration(time.Second),
		Runners:   ferryworkload.Runners{{Name: "a", Count: 1, Rate: 1, StreamRate: 1, Slots: 1}},
		Customers: ferryworkload.Customers{{Name: "c", Share: 1, Load: 1}},
	}
	var as []ferryworkload.Arrival
	for i := range 10 {
		as = append(as, ferryworkload.Arrival{Customer: "c", Kind: &w.Kinds[i%len(w.Kinds)], Prompt: 3, Tokens: 2})
	}
	cfg := Config{
		Entries: []string{f.address}, Model: "m", Plain: "p", Keys: map[ferryid.CustomerName]string{"c": "secret"},
		MaxOpen: 10, Clock: clockwork.NewFakeClock(), Client: srv.Client(),
	}
	return Run(context.Background(), cfg, w, as)
}

func TestRunStreamsAndPlainCalls(t *testing.T) {
	f := &fakeEntry{}
	s := runLoad(t, f, ferryworkload.Kinds{{Name: "q", Repeatable: true}, {Name: "set", Method: "POST", Path: "/set"}})
	assert.Equal(t, s.Result.All.InTime, 10)
	assert.Equal(t, s.Unknown+s.Unsent, 0)
	assert.Equal(t, f.steeringRequests, 2)
	assert.Equal(t, f.authorizations["Bearer secret"], 12)
	assert.Equal(t, len(f.idempotencyKeys), 5)
	assert.Equal(t, f.idempotencyKeys[""], 0)
}

func TestRefusalsAreCountedAsNotRun(t *testing.T) {
	s := runLoad(t, &fakeEntry{refusals: 4}, ferryworkload.Kinds{{Name: "q", Repeatable: true}})
	assert.Equal(t, s.Result.All.Refused, 4)
	assert.Equal(t, s.Result.All.InTime, 6)
	assert.Equal(t, s.Unknown, 0)
}

func TestTruncatedStreamsAreUnknown(t *testing.T) {
	s := runLoad(t, &fakeEntry{truncate: true}, ferryworkload.Kinds{{Name: "q", Repeatable: true}})
	assert.Equal(t, s.Result.All.Failed, 10)
	assert.Equal(t, s.Unknown, 10)
}

// FuzzDecodeSteering checks that no input makes the decoder panic or return an invalid answer.
func FuzzDecodeSteering(f *testing.F) {
	f.Add([]byte(`{"Entries":[{"Address":"127.0.0.1:1"}],"LifetimeSeconds":60}`))
	f.Add([]byte(`{"Entries":[{}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := DecodeSteering(b)
		if err == nil && (len(s.Entries) == 0 || s.Entries[0].Address == "" || s.lifetime() <= 0) {
			t.Fatalf("decoder accepted an invalid answer: %+v", s)
		}
	})
}

func TestSteeringAnswerIsCachedForItsLifetime(t *testing.T) {
	f := &fakeEntry{authorizations: map[string]int{}, idempotencyKeys: map[string]int{}}
	srv := httptest.NewServer(f)
	t.Cleanup(srv.Close)
	f.address = strings.TrimPrefix(srv.URL, "http://")
	clock := clockwork.NewFakeClock()
	e := newSteeringCache(Config{Entries: []string{f.address}, Clock: clock, Client: srv.Client()})
	for range 5 {
		assert.Equal(t, e.address(context.Background(), steeringKey{customer: "c", service: "m"}), f.address)
	}
	assert.Equal(t, f.steeringRequests, 1)
	clock.Advance(time.Hour + time.Second)
	e.address(context.Background(), steeringKey{customer: "c", service: "m"})
	assert.Equal(t, f.steeringRequests, 2)
}

// truncatingEntry truncates each stream after its first token, refuses the first resumption and completes the
// next.
type truncatingEntry struct {
	mu      sync.Mutex
	resumed []string
}

func (f *truncatingEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	last := r.Header.Get("Last-Event-ID")
	switch {
	case r.URL.Path == "/v1/entries":
		w.WriteHeader(http.StatusServiceUnavailable)
	case last == "":
		fmt.Fprint(w, "id: one\ndata: {\"finish_reason\":null}\n\n")
	case len(f.resumed) == 0:
		f.resumed = append(f.resumed, last)
		ferryoutcome.New(ferryoutcome.KindOverloaded, ferryoutcome.NotRun, "full").WithRetryAfter(time.Second).Write(w)
	default:
		f.resumed = append(f.resumed, last)
		fmt.Fprint(w, "id: two\ndata: {\"finish_reason\":null}\n\ndata: {\"finish_reason\":\"length\"}\n\ndata: [DONE]\n\n")
	}
}

func TestTruncatedStreamsResumeAfterLastEvent(t *testing.T) {
	f := &truncatingEntry{}
	srv := httptest.NewServer(f)
	t.Cleanup(srv.Close)
	w := &ferryworkload.Workload{
		Kinds: ferryworkload.Kinds{{Name: "q", Repeatable: true}}, Customers: ferryworkload.Customers{{Name: "c", Share: 1, Load: 1}},
		Retry: ferryworkload.Retry{Attempts: 2},
	}
	clock := clockwork.NewFakeClock()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		for clock.BlockUntilContext(ctx, 1) == nil {
			clock.Advance(time.Second)
		}
	}()
	cfg := Config{Entries: []string{strings.TrimPrefix(srv.URL, "http://")}, Model: "m", MaxOpen: 1, Clock: clock, Client: srv.Client()}
	s := Run(ctx, cfg, w, []ferryworkload.Arrival{{Customer: "c", Kind: &w.Kinds[0], Prompt: 3, Tokens: 2}})
	assert.Equal(t, s.Result.All.InTime, 1)
	assert.Equal(t, s.Resumed, 1)
	assert.Equal(t, s.RefusedResumes, 1)
	assert.Equal(t, s.Uneven, 0)
	assert.DeepEqual(t, f.resumed, []string{"one", "one"})
}

func TestUnreachableEntriesAreNotRefusals(t *testing.T) {
	srv := httptest.NewServer(http.NotFoundHandler())
	address := strings.TrimPrefix(srv.URL, "http://")
	srv.Close()
	w := &ferryworkload.Workload{Kinds: ferryworkload.Kinds{{Name: "q"}}, Customers: ferryworkload.Customers{{Name: "c", Share: 1, Load: 1}}}
	cfg := Config{Entries: []string{address}, Model: "m", MaxOpen: 1, Clock: clockwork.NewFakeClock(), Client: http.DefaultClient}
	s := Run(context.Background(), cfg, w, []ferryworkload.Arrival{{Customer: "c", Kind: &w.Kinds[0], Prompt: 3, Tokens: 2}})
	assert.Equal(t, s.Result.Refusals, 0)
	assert.DeepEqual(t, s.Failures, map[string]int{})
	assert.Equal(t, s.Result.All.Refused, 1)
}
