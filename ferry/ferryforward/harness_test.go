package ferryforward

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryconfig"
	"cactusferry.dev/ferry/ferrydiscovery"
	"cactusferry.dev/ferry/ferryexchange"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryingress"
	"cactusferry.dev/ferry/ferrymemory"
	"cactusferry.dev/ferry/ferrynettest"
	"cactusferry.dev/ferry/ferrypath"
	"cactusferry.dev/ferry/ferryplatform"
	"cactusferry.dev/ferry/ferrysuspect"
)

// testDialect is a Dialect with one header per value.
type testDialect struct{}

func (testDialect) DecodeRequest(h http.Header) (RequestInfo, error) {
	ms, err := strconv.Atoi("0" + h.Get("Wait-Ms"))
	hint, _ := strconv.Atoi("0" + h.Get("Hint"))
	var parts []ferrysuspect.PartID
	for v := range strings.FieldsSeq(h.Get("Prompt")) {
		n, _ := strconv.Atoi(v)
		parts = append(parts, ferrysuspect.PartID(n))
	}
	return RequestInfo{
		Parts: parts,
		ID:    ferryid.RequestID(h.Get("Request-Id")), Key: ferryconfig.Key(h.Get("Key")), After: h.Get("Last-Event-Id"),
		Timeout: time.Duration(ms) * time.Millisecond, Prompt: 100, Answer: 20, AnswerHint: ferryid.Tokens(hint),
	}, err
}

func (testDialect) EncodeOutgoing(h http.Header, o OutgoingInfo) {
	delete(h, "Key")
	h.Set("Instance", o.Instance)
	h.Set("Wait-Ms", strconv.FormatInt(o.Timeout.Milliseconds(), 10))
	h.Set("Customer", string(o.Customer))
	h.Set("Last-Event-Id", o.After)
	if o.Path != nil {
		h.Set("Path", pathNames(o.Path))
	}
}

func pathNames(p *ferrypath.Path) string {
	var parts []string
	for _, hop := range p.Hops() {
		parts = append(parts, hop.Upstream.Name)
	}
	return strings.Join(parts, " ")
}

func (testDialect) DecodeAnswer(_ int, h http.Header) AnswerInfo {
	return AnswerInfo{NotRun: h.Get("Not-Run") != "", Elsewhere: h.Get("Elsewhere") != "", Signed: h.Get("Signed") != "", FailedEngine: h.Get("Failed-Engine"), Leaving: h.Get("Leaving") != "", RetryAfter: decodeRetryAfter(h), InvalidRetryAfter: h.Get("Invalid-Retry-After")}
}

func decodeRetryAfter(h http.Header) time.Duration {
	s, _ := strconv.ParseFloat("0"+h.Get("Retry-After"), 64)
	return time.Duration(s * float64(time.Second))
}

func (testDialect) StripInternal(h http.Header) { delete(h, "Internal") }

func (testDialect) EncodeRefusal(h http.Header, id ferryid.RequestID, wait time.Duration) {
	h.Set("Request-Id", string(id))
	if wait > 0 {
		h.Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', -1, 64))
	}
}

func (testDialect) Echo() string { return "Request-Id" }

// handler answers one request on a connection and reports whether the connection stays open.
type handler func(c net.Conn, r *http.Request) bool

// testUpstream is one upstream of a test.
type testUpstream struct {
	name    string
	address string
	l       net.Listener

	mu     sync.Mutex
	handle handler
	runs   []string
}

func (s *testUpstream) setHandler(do handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handle = do
}

// recordRun records that a request was run.
func (s *testUpstream) recordRun(r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, r.Header.Get("Request-Id"))
}

func (s *testUpstream) runCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.runs)
}

// runCountOf returns how often a request was run.
func (s *testUpstream) runCountOf(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, ran := range s.runs {
		if ran == id {
			n++
		}
	}
	return n
}

func (s *testUpstream) serve() {
	for {
		c, err := s.l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			br := bufio.NewReader(c)
			for {
				r, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				if _, err := io.Copy(io.Discard, r.Body); err != nil {
					return
				}
				s.mu.Lock()
				do := s.handle
				s.mu.Unlock()
				if !do(c, r) {
					return
				}
			}
		}()
	}
}

// harness is a Forwarder with its ingress and the upstreams of a test.
type harness struct {
	t         *testing.T
	holder    *ferryconfig.Holder
	forwarder *Forwarder
	client    *ferryexchange.Client
	memory    *ferrymemory.Budget
	upstreams map[string]*testUpstream
	dial      func() net.Conn
	rerouter  *fakeRerouter
	clock     clockwork.Clock
	table     *ferrydiscovery.Table
	listed    []ferrydiscovery.Upstream
}

// setLeaving reports an upstream as leaving.
func (b *harness) setLeaving(name string) {
	for i := range b.listed {
		if b.listed[i].Name == name {
			b.listed[i].State = ferryplatform.StateLeaving
			b.listed[i].Version++
		}
	}
	b.table.Replace(b.listed, b.listed[0].Version+1)
}

// fakeRerouter records reroute orders and answers them with result.
type fakeRerouter struct {
	mu     sync.Mutex
	paths  []string
	times  []time.Time
	result func(p *ferrypath.Path) error
}

func (r *fakeRerouter) Reroute(_ context.Context, _ ferryid.RequestID, p *ferrypath.Path) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.paths, r.times = append(r.paths, pathNames(p)), append(r.times, time.Now())
	if r.result == nil {
		return errors.New("reroute order not expected")
	}
	return r.result(p)
}

const testMaxProofAge = 5 * time.Second

func configuration() *ferryconfig.Configuration {
	model := &ferryconfig.Model{
		Layers: 8, LayerSize: 100, TokenBytes: 8000, EngineTokens: 10000, StepTime: time.Millisecond, UsualPrompt: 100, UsualAnswer: 20,
		Accelerators: []ferryconfig.Accelerator{{Name: "card", Memory: 10000, StepFactor: 1, ReadFactor: 1}},
	}
	target := func(s ferryid.ServiceName) []ferryconfig.Target { return []ferryconfig.Target{{Service: s, Weight: 1}} }
	return &ferryconfig.Configuration{
		Version:  1,
		Services: []ferryconfig.Service{{Name: "plain"}, {Name: "llm", Model: model}},
		Routes: []ferryconfig.Route{
			{Name: "safe", Host: "h", Prefix: "/safe/", Targets: target("plain"), Repeat: ferryconfig.RepeatAlways, MaxAttempts: 2, Timeout: 2 * time.Second},
			{Name: "once", Host: "h", Prefix: "/once/", Targets: target("plain"), Repeat: ferryconfig.RepeatNever, MaxAttempts: 1, Timeout: 2 * time.Second},
			{Name: "open", Host: "h", Prefix: "/open/", Targets: target("plain"), Repeat: ferryconfig.RepeatAlways, Public: true},
			{Name: "events", Host: "h", Prefix: "/events/", Targets: target("plain"), Repeat: ferryconfig.RepeatFromEvent, Streaming: true, MaxAttempts: 2, Timeout: 20 * time.Second},
			{Name: "live", Host: "h", Prefix: "/live/", Targets: target("plain"), Repeat: ferryconfig.RepeatNever, Streaming: true, MaxAttempts: 2, Timeout: 20 * time.Second},
			{Name: "gen", Host: "h", Prefix: "/gen/", Targets: target("llm"), Repeat: ferryconfig.RepeatFromEvent, Streaming: true, Generation: true, MaxAttempts: 2, Timeout: 20 * time.Second},
		},
		Customers: []ferryconfig.Customer{{Name: "smolyan", Keys: []ferryconfig.Key{"good"}}},
	}
}

// engineLayers maps the engines to the layers of the model that they hold; each layer is held by two engines.
var engineLayers = map[string]ferryid.LayerRange{
	"first-a": {From: 0, To: 2}, "first-b": {From: 0, To: 2}, "mid-a": {From: 2, To: 5}, "mid-b": {From: 2, To: 5}, "last-a": {From: 5, To: 8}, "last-b": {From: 5, To: 8},
}

// newHarness starts a harness with the named plain upstreams; it must be called in a synctest bubble.
func newHarness(t *testing.T, plain ...string) *harness {
	t.Helper()
	clock := clockwork.NewRealClock()
	b := &harness{t: t, holder: &ferryconfig.Holder{}, upstreams: map[string]*testUpstream{}, rerouter: &fakeRerouter{}, clock: clock}
	table := ferrydiscovery.NewTable(clock)
	services := NewServices(ServicesConfig{Clock: clock, Domain: "d", RetryWindow: 10 * time.Second, RetryRatio: 0.2, RetryAllowance: 100})
	b.memory = ferrymemory.New(ferrymemory.Config{})
	b.client = ferryexchange.New(ferryexchange.Config{Dial: ferrynettest.Dial, Memory: b.memory})
	table.OnChange(services.SetView)
	b.holder.OnChange(services.SetConfig)
	s, err := ferryconfig.NewSnapshot(configuration())
	assert.NilError(t, err)
	b.holder.Offer(s)
	b.holder.Prove(1, clock.Now())
	var list []ferrydiscovery.Upstream
	for _, name := range plain {
		list = append(list, b.addUpstream(name, "plain", ferryid.LayerRange{}))
	}
	for name, held := range engineLayers {
		list = append(list, b.addUpstream(name, "llm", held))
	}
	table.Replace(list, 1)
	b.table, b.listed = table, list
	services.SetEntries(map[ferryid.DomainName]int{"d": 1}, 0)
	b.forwarder = New(Config{
		Clock: clock, Steady: clock, Holder: b.holder, Services: services, Dialect: testDialect{}, Client: b.client, Observer: &Observer{Upstreams: table, Clock: clock, Log: zerolog.Nop()}, Rerouter: b.rerouter,
		Log: zerolog.Nop(), Scope: tally.NoopScope, MaxProofAge: testMaxProofAge,
	})
	b.listen()
	return b
}

func (b *harness) addUpstream(name string, service ferryid.ServiceName, held ferryid.LayerRange) ferrydiscovery.Upstream {
	s := &testUpstream{name: name, l: ferrynettest.Listen(), handle: answerOK}
	s.address = s.l.Addr().String()
	b.upstreams[name] = s
	b.t.Cleanup(func() { s.l.Close() })
	go s.serve()
	return ferrydiscovery.Upstream{Version: 1, Instance: ferryplatform.Instance{
		Name: name, Service: service, Address: s.address, State: ferryplatform.StateLive, FailureDomain: "d", Slots: 4, Accelerator: "card", Layers: held,
	}}
}

func (b *harness) listen() {
	l := ferrynettest.Listen()
	ctx, cancel := context.WithCancel(b.t.Context())
	s := ferryingress.NewServer(ferryingress.Config{Log: zerolog.Nop(), Handle: b.forwarder.Handle, Refused: b.forwarder.Refused, Memory: b.memory})
	go func() { _ = s.Serve(ctx, l) }()
	b.dial = func() net.Conn {
		c, err := ferrynettest.Dial(b.t.Context(), "tcp", l.Addr().String())
		assert.NilError(b.t, err)
		return c
	}
	b.t.Cleanup(func() {
		cancel()
		l.Close()
		s.Stop()
		for _, up := range b.upstreams {
			up.l.Close()
		}
		b.client.Close()
		time.Sleep(time.Minute) // lets all goroutines of the bubble end
	})
}

// callerAnswer is the answer that a caller received.
type callerAnswer struct {
	status int
	header http.Header
	body   string
	// err is set if the answer is incomplete.
	err  error
	took time.Duration
}

// call sends one request on a new connection.
func (b *harness) call(method, target, id string, header ...string) callerAnswer {
	c := b.dial()
	defer c.Close()
	return b.callOn(c, method, target, id, header...)
}

func (b *harness) callOn(c net.Conn, method, target, id string, header ...string) callerAnswer {
	began := time.Now()
	body := ""
	if method == http.MethodPost {
		body = "Content-Length: 4\r\n\r\nbody"
	} else {
		body = "\r\n"
	}
	if len(header) == 0 {
		header = []string{"Key: good", "Wait-Ms: 20000"}
	}
	_, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\n%s\r\n%s", method, target, id, strings.Join(header, "\r\n"), body)
	assert.NilError(b.t, err)
	w, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return callerAnswer{err: err, took: time.Since(began)}
	}
	text, err := io.ReadAll(w.Body)
	return callerAnswer{status: w.StatusCode, header: w.Header, body: string(text), err: err, took: time.Since(began)}
}

func writef(c net.Conn, format string, args ...any) { _, _ = fmt.Fprintf(c, format, args...) }

// answerOK answers 200 with the request's id in the body.
func answerOK(c net.Conn, r *http.Request) bool {
	body := "answer to " + r.Header.Get("Request-Id")
	writef(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSigned: yes\r\nInternal: x\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("Request-Id"), len(body), body)
	return true
}

// countRuns wraps a handler so that its runs are counted.
func countRuns(s *testUpstream, do handler) handler {
	return func(c net.Conn, r *http.Request) bool {
		s.recordRun(r)
		return do(c, r)
	}
}

// answerNotRun answers that the request was not run.
func answerNotRun(c net.Conn, r *http.Request) bool {
	writef(c, "HTTP/1.1 503 Full\r\nRequest-Id: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Request-Id"))
	return true
}

// closeUnanswered closes the connection without an answer.
func closeUnanswered(net.Conn, *http.Request) bool { return false }

// neverAnswer does not answer within any timeout of the tests.
func neverAnswer(net.Conn, *http.Request) bool {
	time.Sleep(30 * time.Second)
	return false
}

// streamEvents streams the events after Last-Event-Id up to n, with a pause before each.
func streamEvents(n int, pause time.Duration) handler {
	return func(c net.Conn, r *http.Request) bool {
		return streamEventsUpTo(c, r, n, n, pause)
	}
}

// streamEventsUpTo streams like streamEvents, but closes the connection in the middle of the event after upTo.
func streamEventsUpTo(c net.Conn, r *http.Request, upTo, n int, pause time.Duration) bool {
	writef(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSigned: yes\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Request-Id"))
	from, _ := strconv.Atoi("0" + r.Header.Get("Last-Event-Id"))
	for i := from + 1; i <= upTo; i++ {
		time.Sleep(pause)
		writeChunk(c, eventText(r.Header.Get("Request-Id"), i))
	}
	if upTo < n {
		half := eventText(r.Header.Get("Request-Id"), upTo+1)
		writeChunk(c, half[:len(half)/2])
		return false
	}
	writef(c, "0\r\n\r\n")
	return true
}

func eventText(id string, i int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", i, id, i) }

func writeChunk(c net.Conn, s string) { writeChunkTo(c, s) }

func writeChunkTo(w io.Writer, s string) { _, _ = fmt.Fprintf(w, "%x\r\n%s\r\n", len(s), s) }

// completeStream returns the text of a complete stream of n events.
func completeStream(id string, n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		b.WriteString(eventText(id, i))
	}
	return b.String()
}

// setRoute changes a route of the configuration in force.
func (b *harness) setRoute(name ferryconfig.RouteName, change func(*ferryconfig.Route)) {
	cfg := configuration()
	for i := range cfg.Routes {
		if cfg.Routes[i].Name == name {
			change(&cfg.Routes[i])
		}
	}
	cfg.Version = 2
	s, err := ferryconfig.NewSnapshot(cfg)
	assert.NilError(b.t, err)
	b.holder.Offer(s)
	b.holder.Prove(2, b.clock.Now())
}
