package ferrycapacity

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"cactusferry.dev/ferry/ferryevent"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypeer"
)

const (
	realTimeout = 60 * time.Second
	realSettle  = 15 * time.Second
	realPoll    = 5 * time.Millisecond
	realTries   = 5
)

// RealPoint holds the measurements of real nodes over loopback in one process.
type RealPoint struct {
	Nodes       int
	Joined      time.Duration
	CPU         float64
	HeapBytes   float64
	Goroutines  float64
	Links       float64
	Propagation time.Duration
}

type realNode struct {
	*ferrypeer.Node
	server *http.Server
	mu     sync.Mutex
	doc    document
}

// MeasureReal runs n nodes on 127.0.0.1 in this process and measures them for the given number of seconds.
func MeasureReal(n, seconds int) (RealPoint, error) {
	p := RealPoint{Nodes: n}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	before := heapBytes()
	began := time.Now()
	nodes, err := startReal(ctx, n, &wg)
	if err != nil {
		return p, err
	}
	defer closeServers(nodes)
	if err := waitUntil(realTimeout, "join", func() bool { return allJoined(nodes) }); err != nil {
		return p, err
	}
	p.Joined = time.Since(began)
	time.Sleep(realSettle)
	cpu, at := processorTime(), time.Now()
	time.Sleep(time.Duration(seconds) * time.Second)
	p.CPU = (processorTime() - cpu).Seconds() / time.Since(at).Seconds() / float64(n)
	p.HeapBytes = float64(heapBytes()-before) / float64(n)
	p.Goroutines = float64(runtime.NumGoroutine()) / float64(n)
	for _, r := range nodes {
		p.Links += float64(len(r.Links())) / float64(n)
	}
	p.Propagation, err = measureRealChange(nodes)
	return p, err
}

func startReal(ctx context.Context, n int, wg *sync.WaitGroup) ([]*realNode, error) {
	var nodes []*realNode
	var seeds []string
	for i := range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nodes, err
		}
		clock := clockwork.NewRealClock()
		name := fmt.Sprintf("entry-%03d", i)
		r := &realNode{}
		r.Node = ferrypeer.New(ferrypeer.Config{
			Self: ferrypeer.Member{
				Name: ferryid.EntryName(name), Incarnation: ferryid.NewIncarnation(),
				FailureDomain: ferryid.DomainName(domainName(i, n)), PeerAddress: listener.Addr().String(),
			},
			Seeds: seeds, Clock: clock, Secret: []byte("measurement"), Log: zerolog.Nop(),
			Events: ferryevent.NewLog(clock, name, 100), Topics: []ferrypeer.Topic{r.topic()},
		})
		r.server = &http.Server{Handler: r.Handler(), ReadHeaderTimeout: realSettle}
		wg.Add(2)
		go func() { defer wg.Done(); _ = r.server.Serve(listener) }()
		go func() { defer wg.Done(); _ = r.Run(ctx) }()
		nodes = append(nodes, r)
		if len(seeds) < fewDomains {
			seeds = append(seeds, listener.Addr().String())
		}
	}
	return nodes, nil
}

// topic locks the document, because the measurement reads it outside the goroutine of the overlay.
func (r *realNode) topic() ferrypeer.Topic {
	return ferrypeer.Topic{
		Name:    topicDocuments,
		Digest:  func() []byte { r.mu.Lock(); defer r.mu.Unlock(); return r.doc.digest() },
		Missing: func(d []byte) []ferrypeer.Item { r.mu.Lock(); defer r.mu.Unlock(); return r.doc.missing(d) },
		Apply:   func(it ferrypeer.Item) (bool, error) { r.mu.Lock(); defer r.mu.Unlock(); return r.doc.apply(it) },
	}
}

func closeServers(nodes []*realNode) {
	for _, r := range nodes {
		_ = r.server.Close()
	}
}

func allJoined(nodes []*realNode) bool {
	for _, r := range nodes {
		if len(r.Members().Live()) != len(nodes) {
			return false
		}
	}
	return true
}

func waitUntil(limit time.Duration, operation string, done func() bool) error {
	for began := time.Now(); time.Since(began) < limit; time.Sleep(realPoll) {
		if done() {
			return nil
		}
	}
	return fmt.Errorf("%s: timed out after %s", operation, limit)
}

// measureRealChange publishes documents and returns the median time until every node holds one.
// The resolution is realPoll.
func measureRealChange(nodes []*realNode) (time.Duration, error) {
	var took []time.Duration
	for i := range realTries {
		want := uint64(i + 1)
		r := nodes[i*7%len(nodes)]
		r.mu.Lock()
		r.doc = document{generation: want, bytes: documentChange}
		r.mu.Unlock()
		began := time.Now()
		r.Publish(topicDocuments)
		if err := waitUntil(realTimeout, "distribute document to all nodes", func() bool { return allAtGeneration(nodes, want) }); err != nil {
			return 0, err
		}
		took = append(took, time.Since(began))
	}
	return median(took), nil
}

func allAtGeneration(nodes []*realNode, want uint64) bool {
	for _, r := range nodes {
		r.mu.Lock()
		got := r.doc.generation
		r.mu.Unlock()
		if got != want {
			return false
		}
	}
	return true
}

// Print writes the point as one line.
func (p RealPoint) Print(w io.Writer) {
	fmt.Fprintf(w, "real nodes %d: all joined in %s, %.1f links, %.3f%% of a core, %.0f KB of heap and %.0f goroutines per node, a change of 16 KiB propagated in %s\n",
		p.Nodes, p.Joined.Round(time.Millisecond), p.Links, 100*p.CPU, p.HeapBytes/1024, p.Goroutines, p.Propagation.Round(time.Millisecond))
}
