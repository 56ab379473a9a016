package ferrycaller

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryclaim"
	"cactusferry.dev/ferry/ferryevent"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
	"cactusferry.dev/ferry/ferrypipeline"
	"cactusferry.dev/ferry/ferryplain"
	"cactusferry.dev/ferry/ferryplatform/ferryplatformtest"
	"cactusferry.dev/ferry/ferryqueue"
	"cactusferry.dev/ferry/ferryroute"
	"cactusferry.dev/ferry/ferryservice"
	"cactusferry.dev/ferry/ferrystream"
)

const (
	keyA = "key-of-dobrich"
	keyB = "key-of-smolyan"
)

// fakeBackend implements the interfaces that the handlers depend on.
type fakeBackend struct {
	docs      map[ferryid.ServiceName]*ferryservice.Document
	admission *ferryqueue.Admission
	texts     []string
	acquired  ferryqueue.Item
	failAt    int
	upstream  string
	refusal   error
}

func (f *fakeBackend) Document(name ferryid.ServiceName) (*ferryservice.Document, bool) {
	d, ok := f.docs[name]
	return d, ok
}

func (f *fakeBackend) Customer(name ferryid.ServiceName, key string) (ferryservice.Customer, bool) {
	return f.docs[name].Customer(key)
}

func (f *fakeBackend) BodyLimit(key string) (int64, bool) {
	_, ok := f.Customer("herd-llm", key)
	return f.docs["herd-llm"].Limits.BodyBytes, ok
}

func (f *fakeBackend) Choose(_ *ferryservice.Document, exclude []ferryid.UpstreamName) (ferryservice.Upstream, *ferryroute.Dispatch, bool) {
	return ferryservice.Upstream{Name: "robots-1", Address: f.upstream}, nil, len(exclude) == 0
}

func (f *fakeBackend) Done(*ferryservice.Document, ferryservice.Upstream, *ferryroute.Dispatch, error) {
}

func (f *fakeBackend) Retry(*ferryservice.Document) bool { return true }

func (f *fakeBackend) Acquire(ctx context.Context, _ *ferryservice.Document, it ferryqueue.Item) (*ferryqueue.Grant, error) {
	f.acquired = it
	if f.refusal != nil {
		return nil, f.refusal
	}
	return f.admission.Acquire(ctx, it)
}

func (f *fakeBackend) Run(_ context.Context, _ *ferryservice.Document, job ferrypipeline.Job, emit func(ferrypipeline.Token) error) (ferrypipeline.Result, error) {
	for i, w := range f.texts {
		if f.failAt > 0 && i == f.failAt {
			return ferrypipeline.Result{}, ferryoutcome.New(ferryoutcome.KindUpstreamFailed, ferryoutcome.Ran, "the engines are gone")
		}
		if err := emit(ferrypipeline.Token{Position: ferryid.Position(i), Epoch: job.Epoch + 1, Text: w}); err != nil {
			return ferrypipeline.Result{}, err
		}
	}
	return ferrypipeline.Result{Reason: "length", Epochs: 1}, nil
}

func digestOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func documents(t *testing.T) map[ferryid.ServiceName]*ferryservice.Document {
	t.Helper()
	customers := fmt.Sprintf("[[Customers]]\nName = \"dobrich\"\nKeySHA256 = [%q]\n[[Customers]]\nName = \"smolyan\"\nKeySHA256 = [%q]\n", digestOf(keyA), digestOf(keyB))
	texts := []string{
		"Service = \"herd-llm\"\nTeam = \"herd\"\nKind = \"Model\"\n[Model]\nName = \"m\"\nVersion = \"1\"\nLayers = 4\n[Limits]\nBodyBytes = 2000\n" + customers,
		"Service = \"parlour-api\"\nTeam = \"herd\"\nKind = \"Plain\"\n[Limits]\nBodyBytes = 100\n" + customers,
	}
	out := map[ferryid.ServiceName]*ferryservice.Document{}
	for _, text := range texts {
		d, err := ferryservice.Decode("test", []byte(text))
		assert.NilError(t, err)
		out[d.Service] = &d
	}
	return out
}

func newServer(t *testing.T) (*Server, *fakeBackend, string) {
	t.Helper()
	clock := clockwork.NewRealClock()
	f := &fakeBackend{docs: documents(t), admission: ferryqueue.NewAdmission(clock), texts: []string{"a", " b", " c"}}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go f.admission.Run(ctx, ferryqueue.ConfigOf(f.docs["herd-llm"]))
	f.admission.SetCapacity(8)
	key := []byte(strings.Repeat("k", 32))
	sealer, err := ferrystream.NewSealer(ferrystream.SealerConfig{Keys: [][]byte{key}, MaxAge: time.Hour, Clock: clock})
	assert.NilError(t, err)
	seal, err := ferryclaim.NewSeal(key)
	assert.NilError(t, err)
	claims := ferryclaim.New(ferryclaim.Config{Self: "self", Store: ferryplatformtest.New(clock), Seal: seal, Clock: clock})
	go func() { _ = claims.Run(ctx) }()
	s := &Server{
		Clock: clock, Log: zerolog.Nop(), Metrics: NewMetrics(tally.NoopScope), Events: ferryevent.NewLog(clock, "test", 100), Documents: f, Upstreams: f, Models: f,
		Claims: claims, Sealer: sealer, Plain: ferryplain.New(ferryplain.ClientConfig{}),
		Limits: Limits{BodyTimeout: 5 * time.Second, WriteTimeout: 5 * time.Second},
		Steer: func(d *ferryservice.Document, _ ferryservice.Customer, _ ferryid.RequestID) EntriesAnswer {
			return EntriesAnswer{Service: d.Service}
		},
		Allow:     func(*ferryservice.Document, ferryservice.Customer, float64) (time.Duration, bool) { return 0, true },
		AddressOf: func(ferryid.Incarnation) (string, bool) { return "", false },
		Refuse:    func() *ferryoutcome.Problem { return nil },
	}
	h := httptest.NewUnstartedServer(s.Handler())
	h.Config.MaxHeaderBytes = 4 << 10
	h.Start()
	t.Cleanup(h.Close)
	return s, f, h.URL
}

func send(t *testing.T, method, url, key, body string, header ...string) (*http.Response, string) {
	t.Helper()
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	assert.NilError(t, err)
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	defer w.Body.Close()
	b, err := io.ReadAll(w.Body)
	assert.NilError(t, err)
	return w, string(b)
}

func TestInvalidRequests(t *testing.T) {
	_, _, url := newServer(t)
	const good = `{"model":"herd-llm","prompt":"x","max_tokens":3}`
	tests := []struct {
		name, path, key, body string
		header                []string
		status                int
		kind                  ferryoutcome.Kind
	}{
		{"no key", "/v1/completions", "", good, nil, 401, ferryoutcome.KindUnauthorized},
		{"wrong key", "/v1/completions", "nobody", good, nil, 401, ferryoutcome.KindUnauthorized},
		{"unknown service", "/v1/completions", keyA, `{"model":"x","prompt":"y"}`, nil, 404, ferryoutcome.KindNotFound},
		{"plain service as a model", "/v1/completions", keyA, `{"model":"parlour-api","prompt":"y"}`, nil, 404, ferryoutcome.KindNotFound},
		{"broken JSON", "/v1/completions", keyA, `{"model":`, nil, 400, ferryoutcome.KindBadRequest},
		{"two objects", "/v1/completions", keyA, good + good, nil, 400, ferryoutcome.KindBadRequest},
		{"no prompt", "/v1/completions", keyA, `{"model":"herd-llm"}`, nil, 400, ferryoutcome.KindBadRequest},
		{"no tokens", "/v1/completions", keyA, `{"model":"herd-llm","prompt":"x","max_tokens":0}`, nil, 400, ferryoutcome.KindBadRequest},
		{"image content", "/v1/chat/completions", keyA, `{"model":"herd-llm","messages":[{"role":"user","content":[{"type":"image"}]}]}`, nil, 400, ferryoutcome.KindBadRequest},
		{"over the service's limit", "/v1/completions", keyA, `{"model":"herd-llm","prompt":"` + strings.Repeat("x", 2100) + `"}`, nil, 413, ferryoutcome.KindTooLarge},
		{"over any limit", "/v1/completions", keyA, strings.Repeat("x", 5000), nil, 413, ferryoutcome.KindTooLarge},
		{"over any limit and no key", "/v1/completions", "", strings.Repeat("x", 5000), nil, 401, ferryoutcome.KindUnauthorized},
		{"body of a plain call", "/v1/services/parlour-api/x", keyA, strings.Repeat("x", 101), nil, 413, ferryoutcome.KindTooLarge},
		{"bad deadline", "/v1/completions", keyA, good, []string{TimeoutHeader, "NaN"}, 400, ferryoutcome.KindBadRequest},
		{"forged event id", "/v1/completions", keyA, good, []string{EventIDHeader, "abc"}, 403, ferryoutcome.KindForbidden},
		{"long key", "/v1/services/parlour-api/x", keyA, "x", []string{ferryplain.IdempotencyKeyHeader, strings.Repeat("k", 300)}, 400, ferryoutcome.KindBadRequest},
		{"no such path", "/v2", keyA, "", nil, 404, ferryoutcome.KindNotFound},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w, body := send(t, http.MethodPost, url+tt.path, tt.key, tt.body, tt.header...)
			var p ferryoutcome.Problem
			assert.NilError(t, json.Unmarshal([]byte(body), &p), body)
			assert.Equal(t, w.StatusCode, tt.status, body)
			assert.Equal(t, p.Kind, tt.kind)
			assert.Equal(t, p.Outcome, ferryoutcome.NotRun)
			assert.Assert(t, p.Detail != "" && p.RequestID != "")
			assert.Assert(t, !strings.Contains(body, keyA), "the key must not be in the answer")
		})
	}
}

func TestOversizedHeader(t *testing.T) {
	_, _, url := newServer(t)
	w, _ := send(t, http.MethodGet, url+"/v1/entries", "", "", "X-Large", strings.Repeat("x", 1<<20))
	assert.Equal(t, w.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
}

func TestSlowBodyTimesOut(t *testing.T) {
	s, _, url := newServer(t)
	s.Limits.BodyTimeout = time.Millisecond
	c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	assert.NilError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+keyA+"\r\nContent-Length: 100\r\n\r\n{")
	assert.NilError(t, err)
	w, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	defer w.Body.Close()
	assert.Equal(t, w.StatusCode, http.StatusRequestTimeout)
}

func TestStreamResumesWithoutRepeatingText(t *testing.T) {
	_, f, url := newServer(t)
	const body = `{"model":"herd-llm","prompt":"x","max_tokens":3,"stream":true}`
	_, whole := send(t, http.MethodPost, url+"/v1/completions", keyA, body)
	ids := eventIDs(whole)
	assert.Equal(t, len(ids), 3)
	assert.Equal(t, texts(t, whole), "a b c")
	assert.Assert(t, !f.acquired.Resumed)
	_, rest := send(t, http.MethodPost, url+"/v1/completions", keyA, body, EventIDHeader, ids[0])
	assert.Equal(t, texts(t, rest), " b c")
	assert.Assert(t, f.acquired.Resumed)
	_, end := send(t, http.MethodPost, url+"/v1/completions", keyA, body, EventIDHeader, ids[2])
	assert.Equal(t, texts(t, end), "")
	assert.Assert(t, strings.HasSuffix(end, "data: [DONE]\n\n"))
	t.Run("another customer is refused", func(t *testing.T) {
		w, _ := send(t, http.MethodPost, url+"/v1/completions", keyB, body, EventIDHeader, ids[0])
		assert.Equal(t, w.StatusCode, http.StatusForbidden)
	})
	t.Run("another text is not spliced", func(t *testing.T) {
		f.texts = []string{"x", " y", " z"}
		w, text := send(t, http.MethodPost, url+"/v1/completions", keyA, body, EventIDHeader, ids[1])
		assert.Equal(t, w.StatusCode, http.StatusConflict, text)
	})
}

func TestBrokenStreamEndsWithError(t *testing.T) {
	_, f, url := newServer(t)
	f.failAt = 2
	_, text := send(t, http.MethodPost, url+"/v1/completions", keyA, `{"model":"herd-llm","prompt":"x","max_tokens":3,"stream":true}`)
	assert.Assert(t, strings.Contains(text, "event: error"))
	assert.Assert(t, !strings.Contains(text, "[DONE]"))
	w, _ := send(t, http.MethodPost, url+"/v1/completions", keyA, `{"model":"herd-llm","prompt":"x","max_tokens":3}`)
	assert.Equal(t, w.StatusCode, http.StatusBadGateway)
	assert.Equal(t, w.Header.Get(ferryoutcome.Header), "Ran")
}

func TestKeyedCallRunsOnceAndReplaysAnswer(t *testing.T) {
	_, f, url := newServer(t)
	runs := 0
	up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		runs++
		fmt.Fprintf(w, "run %d", runs)
	}))
	defer up.Close()
	f.upstream = strings.TrimPrefix(up.URL, "http://")
	for i := range 3 {
		w, body := send(t, http.MethodPost, url+"/v1/services/parlour-api/rations/7", keyA, "2kg", ferryplain.IdempotencyKeyHeader, "k1")
		assert.Equal(t, body, "run 1")
		assert.Equal(t, w.Header.Get(ReplayHeader) == "true", i > 0)
	}
	w, body := send(t, http.MethodPost, url+"/v1/services/parlour-api/rations/7", keyA, "3kg", ferryplain.IdempotencyKeyHeader, "k1")
	assert.Equal(t, w.StatusCode, http.StatusUnprocessableEntity, body)
	assert.Equal(t, runs, 1)
}

func TestRefusalScope(t *testing.T) {
	_, f, url := newServer(t)
	up := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	f.upstream = strings.TrimPrefix(up.URL, "http://")
	w, _ := send(t, http.MethodPost, url+"/v1/services/parlour-api/rations/7", keyA, "2kg", ferryplain.IdempotencyKeyHeader, "ran")
	assert.Equal(t, w.StatusCode, http.StatusOK)
	up.Close()
	tests := []struct {
		name    string
		refused bool
		body    string
		header  []string
		want    ferryoutcome.Scope
	}{
		{"key that ran, refused before the look-up", true, "2kg", []string{ferryplain.IdempotencyKeyHeader, "ran"}, ferryoutcome.ScopeAttempt},
		{"ticket, refused before the look-up", true, "2kg", []string{TicketHeader, "x"}, ferryoutcome.ScopeAttempt},
		{"no key", true, "2kg", nil, ""},
		{"new key, the upstream does not answer", false, "2kg", []string{ferryplain.IdempotencyKeyHeader, "new"}, ""},
		{"key of another call", false, "3kg", []string{ferryplain.IdempotencyKeyHeader, "ran"}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f.refusal = nil
			if tt.refused {
				f.refusal = ferryoutcome.New(ferryoutcome.KindOverloaded, ferryoutcome.NotRun, "too much")
			}
			w, body := send(t, http.MethodPost, url+"/v1/services/parlour-api/rations/7", keyA, tt.body, tt.header...)
			assert.Equal(t, w.Header.Get(ferryoutcome.Header), string(ferryoutcome.NotRun), body)
			assert.Equal(t, w.Header.Get(ferryoutcome.ScopeHeader), string(tt.want))
			var p ferryoutcome.Problem
			assert.NilError(t, json.Unmarshal([]byte(body), &p))
			assert.Equal(t, p.Scope, tt.want)
		})
	}
}

func TestTicketRunsOnce(t *testing.T) {
	_, f, url := newServer(t)
	runs := 0
	up := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs++ }))
	defer up.Close()
	f.upstream = strings.TrimPrefix(up.URL, "http://")
	_, body := send(t, http.MethodPost, url+"/v1/tickets?service=parlour-api", keyA, "")
	var answer ticketAnswer
	assert.NilError(t, json.Unmarshal([]byte(body), &answer))
	for range 2 {
		w, text := send(t, http.MethodPost, url+"/v1/services/parlour-api/marks/7", keyA, "", TicketHeader, answer.Ticket)
		assert.Equal(t, w.StatusCode, http.StatusOK, text)
	}
	assert.Equal(t, runs, 1)
	w, text := send(t, http.MethodPost, url+"/v1/services/parlour-api/marks/7", keyB, "", TicketHeader, answer.Ticket)
	assert.Assert(t, w.StatusCode >= 400, text)
	assert.Equal(t, runs, 1)
}

func eventIDs(stream string) []string {
	var ids []string
	for line := range strings.Lines(stream) {
		if v, ok := strings.CutPrefix(line, "id: "); ok {
			ids = append(ids, strings.TrimSpace(v))
		}
	}
	return ids
}

func texts(t *testing.T, stream string) string {
	t.Helper()
	var b strings.Builder
	for line := range strings.Lines(stream) {
		v, ok := strings.CutPrefix(line, "data: {")
		if !ok {
			continue
		}
		var c struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		assert.NilError(t, json.Unmarshal([]byte("{"+v), &c))
		b.WriteString(c.Choices[0].Text)
	}
	return b.String()
}

func TestFailedCallsAreLoggedWithTheirIDs(t *testing.T) {
	s, f, url := newServer(t)
	var log strings.Builder
	s.Log = zerolog.New(&log)
	f.failAt = 2
	w, _ := send(t, http.MethodPost, url+"/v1/completions", keyA, `{"model":"herd-llm","prompt":"x","max_tokens":3}`)
	var line struct{ RequestID, Customer, StreamID, Kind, Outcome string }
	assert.NilError(t, json.Unmarshal([]byte(log.String()), &line), log.String())
	assert.Equal(t, line.RequestID, w.Header.Get(ferryplain.RequestIDHeader))
	assert.Equal(t, line.Customer, "dobrich")
	assert.Assert(t, line.StreamID != "")
	assert.Equal(t, line.Outcome, "Ran")
	assert.Assert(t, !strings.Contains(log.String(), keyA), "the key must not be logged")
}
