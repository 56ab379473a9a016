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
	"cactusferry.dev/ferry/ferrynettest"
	"cactusferry.dev/ferry/ferrypath"
	"cactusferry.dev/ferry/ferryplatform"
)

// plainDialect has one header for each thing that is said.
type plainDialect struct{}

func (plainDialect) Ask(h http.Header) (Ask, error) {
	ms, err := strconv.Atoi("0" + h.Get("Wait-Ms"))
	return Ask{
		ID: ferryid.RequestID(h.Get("Request-Id")), Key: ferryconfig.Key(h.Get("Key")), After: h.Get("Last-Event-Id"),
		Wait: time.Duration(ms) * time.Millisecond, Prompt: 100, Answer: 20,
	}, err
}

func (plainDialect) Send(h http.Header, o Outgoing) {
	delete(h, "Key")
	h.Set("Instance", o.Instance)
	h.Set("Wait-Ms", strconv.FormatInt(o.Wait.Milliseconds(), 10))
	h.Set("Customer", string(o.Customer))
	h.Set("Last-Event-Id", o.After)
	if o.Path != nil {
		h.Set("Path", pathText(o.Path))
	}
}

func pathText(p *ferrypath.Path) string {
	var parts []string
	for _, hop := range p.Hops() {
		parts = append(parts, hop.Upstream.Name)
	}
	return strings.Join(parts, " ")
}

func (plainDialect) Judge(_ int, h http.Header) Verdict {
	return Verdict{NotRun: h.Get("Not-Run") != "", Elsewhere: h.Get("Elsewhere") != "", Signed: h.Get("Signed") != "", Culprit: h.Get("Culprit")}
}

func (plainDialect) Deliver(h http.Header) { delete(h, "Internal") }

func (plainDialect) Refuse(h http.Header, id ferryid.RequestID, wait time.Duration) {
	h.Set("Request-Id", string(id))
	if wait > 0 {
		h.Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', -1, 64))
	}
}

func (plainDialect) Echo() string { return "Request-Id" }

// behaviour answers one request on a connection that is closed afterwards unless it returns true.
type behaviour func(c net.Conn, r *http.Request) bool

// server is one upstream of the bed.
type server struct {
	name    string
	address string
	l       net.Listener

	mu   sync.Mutex
	do   behaviour
	runs []string
}

func (s *server) set(do behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.do = do
}

// ran notes that a request was run.
func (s *server) ran(r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, r.Header.Get("Request-Id"))
}

func (s *server) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.runs)
}

// countOf is how often a request was run.
func (s *server) countOf(id string) int {
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

func (s *server) serve() {
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
				do := s.do
				s.mu.Unlock()
				if !do(c, r) {
					return
				}
			}
		}()
	}
}

// bed is a forwarder between callers and upstreams of a test.
type bed struct {
	t       *testing.T
	holder  *ferryconfig.Holder
	forward *Forwarder
	client  *ferryexchange.Client
	servers map[string]*server
	dial    func() net.Conn
	moved   *rerouter
	clock   clockwork.Clock
}

// rerouter notes orders to move runs and carries them out by f.
type rerouter struct {
	mu    sync.Mutex
	paths []string
	f     func(p *ferrypath.Path) error
}

func (r *rerouter) Reroute(_ context.Context, _ ferryid.RequestID, p *ferrypath.Path) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.paths = append(r.paths, pathText(p))
	if r.f == nil {
		return errors.New("no")
	}
	return r.f(p)
}

const maxAge = 5 * time.Second

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

// layers are the engines of the bed's model: two hold the first layers, two each part of the rest.
var layers = map[string]ferryid.LayerRange{
	"first-a": {From: 0, To: 2}, "first-b": {From: 0, To: 2}, "mid-a": {From: 2, To: 5}, "mid-b": {From: 2, To: 5}, "last-a": {From: 5, To: 8}, "last-b": {From: 5, To: 8},
}

// newBed must be called in a synctest bubble.
func newBed(t *testing.T, plain ...string) *bed {
	t.Helper()
	clock := clockwork.NewRealClock()
	b := &bed{t: t, holder: &ferryconfig.Holder{}, servers: map[string]*server{}, moved: &rerouter{}, clock: clock}
	table := ferrydiscovery.NewTable(clock)
	services := NewServices(ServicesConfig{Clock: clock, Domain: "d", RepeatWindow: 10 * time.Second, RepeatRatio: 0.2, RepeatAllowance: 100})
	b.client = ferryexchange.New(ferryexchange.Config{Dial: ferrynettest.Dial})
	table.OnChange(services.SetView)
	b.holder.OnChange(services.SetConfig)
	s, err := ferryconfig.NewSnapshot(configuration())
	assert.NilError(t, err)
	b.holder.Offer(s)
	b.holder.Prove(1, clock.Now())
	var list []ferrydiscovery.Upstream
	for _, name := range plain {
		list = append(list, b.add(name, "plain", ferryid.LayerRange{}))
	}
	for name, held := range layers {
		list = append(list, b.add(name, "llm", held))
	}
	table.Replace(list, 1)
	services.SetEntries(map[ferryid.DomainName]int{"d": 1}, 0)
	b.forward = New(Config{
		Clock: clock, Steady: clock, Holder: b.holder, Services: services, Dialect: plainDialect{}, Client: b.client, Rerouter: b.moved,
		Log: zerolog.Nop(), Scope: tally.NoopScope, MaxAge: maxAge,
	})
	b.listen()
	return b
}

func (b *bed) add(name string, service ferryid.ServiceName, held ferryid.LayerRange) ferrydiscovery.Upstream {
	s := &server{name: name, l: ferrynettest.Listen(), do: whole}
	s.address = s.l.Addr().String()
	b.servers[name] = s
	b.t.Cleanup(func() { s.l.Close() })
	go s.serve()
	return ferrydiscovery.Upstream{Version: 1, Instance: ferryplatform.Instance{
		Name: name, Service: service, Address: s.address, State: ferryplatform.StateLive, FailureDomain: "d", Slots: 4, Accelerator: "card", Layers: held,
	}}
}

func (b *bed) listen() {
	l := ferrynettest.Listen()
	ctx, cancel := context.WithCancel(b.t.Context())
	s := ferryingress.NewServer(ferryingress.Config{Log: zerolog.Nop(), Handle: b.forward.Handle, Refused: b.forward.Refused})
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
		for _, up := range b.servers {
			up.l.Close()
		}
		b.client.Close()
		time.Sleep(time.Minute) // everything under way ends meanwhile
	})
}

// answer is what a caller gets.
type answer struct {
	status int
	header http.Header
	body   string
	// err is set where the answer is not whole.
	err  error
	took time.Duration
}

// call makes one request on a connection of its own.
func (b *bed) call(method, target, id string, header ...string) answer {
	c := b.dial()
	defer c.Close()
	return b.callOn(c, method, target, id, header...)
}

func (b *bed) callOn(c net.Conn, method, target, id string, header ...string) answer {
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
		return answer{err: err, took: time.Since(began)}
	}
	text, err := io.ReadAll(w.Body)
	return answer{status: w.StatusCode, header: w.Header, body: string(text), err: err, took: time.Since(began)}
}

func say(c net.Conn, format string, args ...any) { _, _ = fmt.Fprintf(c, format, args...) }

// whole answers with the request's id.
func whole(c net.Conn, r *http.Request) bool {
	body := "answer to " + r.Header.Get("Request-Id")
	say(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSigned: yes\r\nInternal: x\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("Request-Id"), len(body), body)
	return true
}

// running makes a behaviour note its runs.
func running(s *server, do behaviour) behaviour {
	return func(c net.Conn, r *http.Request) bool {
		s.ran(r)
		return do(c, r)
	}
}

// refuse says that the request was not run.
func refuse(c net.Conn, r *http.Request) bool {
	say(c, "HTTP/1.1 503 Full\r\nRequest-Id: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Request-Id"))
	return true
}

// breakOff closes without an answer.
func breakOff(net.Conn, *http.Request) bool { return false }

// silent never answers.
func silent(net.Conn, *http.Request) bool {
	time.Sleep(30 * time.Second)
	return false
}

// events streams events with ids from the one after the last that the caller has up to n, with a pause before each.
func events(n int, pause time.Duration) behaviour {
	return func(c net.Conn, r *http.Request) bool {
		return someEvents(c, r, n, n, pause)
	}
}

// someEvents streams like events, but breaks off in the middle of the event after the given one.
func someEvents(c net.Conn, r *http.Request, upTo, n int, pause time.Duration) bool {
	say(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSigned: yes\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Request-Id"))
	from, _ := strconv.Atoi("0" + r.Header.Get("Last-Event-Id"))
	for i := from + 1; i <= upTo; i++ {
		time.Sleep(pause)
		chunk(c, event(r.Header.Get("Request-Id"), i))
	}
	if upTo < n {
		half := event(r.Header.Get("Request-Id"), upTo+1)
		chunk(c, half[:len(half)/2])
		return false
	}
	say(c, "0\r\n\r\n")
	return true
}

func event(id string, i int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", i, id, i) }

func chunk(c net.Conn, s string) { say(c, "%x\r\n%s\r\n", len(s), s) }

// allEvents is the text of a whole stream.
func allEvents(id string, n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		b.WriteString(event(id, i))
	}
	return b.String()
}
