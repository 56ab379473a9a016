package ferryedge

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryconfig"
	"cactusferry.dev/ferry/ferrydiscovery"
	"cactusferry.dev/ferry/ferryexchange"
	"cactusferry.dev/ferry/ferryforward"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrynettest"
	"cactusferry.dev/ferry/ferryplatform"
	"cactusferry.dev/ferry/ferryplatform/ferryplatformtest"
)

const testGrace = 8 * time.Second

// testDialect is a Dialect that knows the ids of requests and believes every upstream.
type testDialect struct{}

func (testDialect) DecodeRequest(h http.Header) (ferryforward.RequestInfo, error) {
	return ferryforward.RequestInfo{ID: ferryid.RequestID(h.Get("Request-Id"))}, nil
}

func (testDialect) EncodeOutgoing(http.Header, ferryforward.OutgoingInfo) {}

func (testDialect) DecodeAnswer(int, http.Header) ferryforward.AnswerInfo {
	return ferryforward.AnswerInfo{Signed: true}
}

func (testDialect) StripInternal(http.Header) {}

func (testDialect) EncodeRefusal(http.Header, ferryid.RequestID, time.Duration) {}

func (testDialect) Echo() string { return "Request-Id" }

// slowLog keeps log lines; each line on a request takes lineTime to write, as on a busy machine.
type slowLog struct {
	lineTime time.Duration
	mu       sync.Mutex
	lines    []string
}

func (l *slowLog) Write(b []byte) (int, error) {
	if bytes.Contains(b, []byte(`"Request":`)) {
		time.Sleep(l.lineTime)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, string(b))
	return len(b), nil
}

// count returns the number of lines that contain all of the given texts.
func (l *slowLog) count(texts ...string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, line := range l.lines {
		all := true
		for _, s := range texts {
			all = all && strings.Contains(line, s)
		}
		if all {
			n++
		}
	}
	return n
}

// testEdge is an edge that runs in a synctest bubble.
type testEdge struct {
	*Edge
	log     *slowLog
	signals chan os.Signal
	ended   chan error
	cancel  context.CancelFunc
}

func (e *testEdge) terminate() { e.signals <- syscall.SIGTERM }

// testFleet is a platform with one upstream and the edges that use them.
type testFleet struct {
	t         *testing.T
	clock     clockwork.Clock
	store     *ferryplatformtest.Fake
	listeners sync.Map
	seeds     []string
	// remote is the store as the edges see it.
	remote ferryplatform.RemoteStore
	// decode decodes the configuration.
	decode func([]byte) (*ferryconfig.Snapshot, error)
}

// newTestFleet returns a fleet without edges whose upstream answers with the given handler.
func newTestFleet(t *testing.T, upstream http.Handler) *testFleet {
	t.Helper()
	clock := clockwork.NewRealClock()
	f := &testFleet{t: t, clock: clock, store: ferryplatformtest.New(clock)}
	f.remote, f.decode = f.store, decodeTestConfiguration
	s := ferrynettest.Serve(upstream)
	t.Cleanup(func() {
		time.Sleep(time.Minute) // lets the goroutines of the edges end
		s.Close()
	})
	f.put("config", "main", "1")
	f.put("upstreams", "u1", s.Listener.Addr().String())
	return f
}

func (f *testFleet) put(kind, name, value string) {
	_, err := f.store.Put(f.t.Context(), kind, name, ferryplatform.NoVersion, []byte(value))
	assert.NilError(f.t, err)
}

// address opens a listener for an edge and returns its address.
func (f *testFleet) address() string {
	l := ferrynettest.Listen()
	f.listeners.Store(l.Addr().String(), l)
	return l.Addr().String()
}

// start starts an edge and waits until it is ready.
func (f *testFleet) start(name ferryid.EntryName, log *slowLog) *testEdge {
	cfg := Config{
		Name: name, Domain: "d", Callers: f.address(), Peers: f.address(), Seeds: f.seeds,
		Clock: f.clock, Steady: f.clock, Log: zerolog.New(log), Store: f.remote, Dialect: testDialect{},
		Engines:    func(*ferryexchange.Client, *ferryforward.Observer) Engines { return nil },
		Objectives: Objectives{ConfigWithin: 2 * time.Second, LeaveWithin: 2 * time.Second, Grace: testGrace, AnswerLifetime: 2 * time.Second, RetryWindow: 10 * time.Second, RetryRatio: 0.2, RetryAllowance: 100},
		Objects: Objects{
			ConfigurationKind: "config", ConfigurationName: "main", Configuration: f.decode,
			UpstreamKind: "upstreams", Upstream: decodeTestUpstream,
		},
		Listen: func(_, address string) (net.Listener, error) {
			l, _ := f.listeners.Load(address)
			return l.(net.Listener), nil
		},
		Dial: ferrynettest.Dial,
	}
	f.seeds = append(f.seeds, cfg.Peers)
	ctx, cancel := context.WithCancel(context.Background())
	e := &testEdge{Edge: New(cfg), log: log, signals: make(chan os.Signal, 2), ended: make(chan error, 1), cancel: cancel}
	f.t.Cleanup(func() {
		cancel()
		assert.NilError(f.t, e.metrics.Close())
	})
	go func() { e.ended <- e.Run(ctx, e.signals) }()
	for !e.Ready() {
		time.Sleep(10 * time.Millisecond)
	}
	return e
}

func decodeTestConfiguration(b []byte) (*ferryconfig.Snapshot, error) {
	var v ferryconfig.Version
	if err := json.Unmarshal(b, &v); err != nil {
		return nil, err
	}
	target := []ferryconfig.Target{{Service: "plain", Weight: 1}}
	return ferryconfig.NewSnapshot(&ferryconfig.Configuration{
		Version: v, Services: []ferryconfig.Service{{Name: "plain"}},
		Routes: []ferryconfig.Route{
			{Name: "call", Host: "h", Prefix: "/call/", Targets: target, Repeat: ferryconfig.RepeatAlways, MaxAttempts: 2, Public: true},
			{Name: "events", Host: "h", Prefix: "/events/", Targets: target, Repeat: ferryconfig.RepeatFromEvent, Streaming: true, MaxAttempts: 2, Public: true},
		},
	})
}

// decodeTestUpstream decodes an address, "restarted" if a second process has that address, and "leaving" if it leaves.
func decodeTestUpstream(o ferryplatform.Object) (ferrydiscovery.Upstream, error) {
	value, leaving := strings.CutSuffix(strings.TrimSpace(string(o.Value)), " leaving")
	address, restarted := strings.CutSuffix(value, " restarted")
	u := ferrydiscovery.Upstream{Version: o.Version, Instance: ferryplatform.Instance{
		Name: o.Name, Service: "plain", Address: address, State: ferryplatform.StateLive, FailureDomain: "d", Slots: 1000,
	}}
	if leaving {
		u.State = ferryplatform.StateLeaving
	}
	if restarted {
		u.Started = time.Unix(7, 0).UTC()
	}
	return u, nil
}

// send sends a request to the edge on a new connection.
func (e *testEdge) send(t *testing.T, target, id string) net.Conn {
	t.Helper()
	c, err := ferrynettest.Dial(t.Context(), "tcp", e.cfg.Callers)
	assert.NilError(t, err)
	_, err = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\n\r\n", target, id)
	assert.NilError(t, err)
	return c
}

// goOn answers /call/ requests after, and ends streams of one event a second after, the given time.
func goOn(d time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		if r.URL.Path == "/call/x" {
			time.Sleep(d)
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		for i := range int(d / time.Second) {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: x\n\n", i+1); err != nil {
				return
			}
			w.(http.Flusher).Flush()
			time.Sleep(time.Second)
		}
	})
}
