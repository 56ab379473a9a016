package ferrycapacity

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"cactusferry.dev/ferry/ferryengine"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrysubset"
	"cactusferry.dev/ferrystand/ferrystandengine"
)

const (
	readTries     = 2000
	readTimeout   = 10 * time.Second
	readSeconds   = 60
	modelParts    = 4
	layersPerPart = 8
	// headerBytes and ackBytes are the overhead of a message below HTTP.
	headerBytes = 60
	ackBytes    = 52
	// sharedReportsPerSecond is how many load reports the fleet exchanges per second if all entries use all
	// engines.
	sharedReportsPerSecond = 20
)

// ReadCost is the cost of one read of an engine's load.
type ReadCost struct {
	// Bytes counts both directions, including headers and acknowledgements.
	Bytes float64
	// CPU is the processor time of client and server together.
	CPU time.Duration
}

// countedConn counts the bytes read and written.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read reads from the connection and counts the bytes.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

type countedListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept returns a connection that counts its bytes.
func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countedConn{c, l.bytes}, err
}

// MeasureRead reads the load of a simulated engine over loopback many times, on one kept-alive connection.
func MeasureRead(ctx context.Context) (ReadCost, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return ReadCost{}, err
	}
	var bytes atomic.Int64
	e := ferrystandengine.New(ferrystandengine.Config{Name: "engine-0001", Service: "herd-llm", Layers: ferryid.LayerRange{To: layersPerPart}})
	defer e.Close()
	s := &http.Server{Handler: e, ReadHeaderTimeout: readTimeout}
	defer s.Close()
	go func() { _ = s.Serve(countedListener{listener, &bytes}) }()
	c := ferryengine.New(ferryengine.ClientConfig{Clock: clockwork.NewRealClock()})
	cpu := processorTime()
	for range readTries {
		if _, err := c.Load(ctx, listener.Addr().String()); err != nil {
			return ReadCost{}, err
		}
	}
	return ReadCost{
		Bytes: float64(bytes.Load())/readTries + 2*(headerBytes+ackBytes),
		CPU:   (processorTime() - cpu) / readTries,
	}, nil
}

// Reading is the cost of reading the engines' loads at one fleet size, and the age of the reports.
type Reading struct {
	Nodes, Runners int
	// Shared is set if all entries use all engines and read them on behalf of each other.
	Shared bool
	// Engines is the mean number of engines that an entry uses.
	Engines    float64
	MaxEngines int
	// Reads is the rate of reads by an entry, EngineReads the rate of reads at an engine, both per second.
	Reads, EngineReads, MaxEngineReads float64
	// Age is the mean age of a report over engines and seconds, MaxAge the maximum.
	Age, MaxAge time.Duration
	// The fields with Idle apply while no entry has calls.
	IdleReads           float64
	IdleAge, MaxIdleAge time.Duration
	IdleBytes           float64
	// Bytes is the bytes/s that an entry sends and receives for its reads, without exchanged reports.
	Bytes float64
	// CPU is the share of a core that client and server use together.
	CPU float64
}

// Readings are the measurements of several fleet sizes.
type Readings []Reading

// MeasureReading simulates how the entries of one fleet size choose engines and read them, in steps of one
// second.
func MeasureReading(nodes, runners int, cost ReadCost) Reading {
	r := Reading{Nodes: nodes, Runners: runners, Shared: ferrysubset.Default.UsesAll(nodes, runners)}
	if r.Shared {
		r.computeShared()
	} else {
		r.simulateReads()
	}
	r.IdleBytes = r.IdleReads * cost.Bytes
	r.Bytes, r.CPU = r.Reads*cost.Bytes, r.Reads*cost.CPU.Seconds()
	return r
}

// computeShared computes the rates and ages from the limit that ferryd sets for exchanged reports.
func (r *Reading) computeShared() {
	every := max(1, float64(r.Runners)/sharedReportsPerSecond)
	r.Engines, r.MaxEngines = float64(r.Runners), r.Runners
	r.EngineReads, r.MaxEngineReads = 1/every, 1/every
	r.Reads = float64(r.Runners) / every / float64(r.Nodes)
	r.MaxAge = time.Duration(every * float64(time.Second))
	r.Age = r.MaxAge / 2
	r.IdleReads, r.IdleAge, r.MaxIdleAge = r.Reads, r.Age, r.MaxAge
}

func (r *Reading) simulateReads() {
	var names []ferryid.EntryName
	for i := range r.Nodes {
		names = append(names, ferryid.EntryName(fmt.Sprintf("entry-%03d", i)))
	}
	var engines []ferrysubset.Candidate
	for i := range r.Runners {
		from := ferryid.Layer(i % modelParts * layersPerPart)
		engines = append(engines, ferrysubset.Candidate{
			Name:   ferryid.UpstreamName(fmt.Sprintf("engine-%04d", i)),
			Domain: ferryid.DomainName(domainName(i/modelParts, r.Nodes)), Layers: ferryid.LayerRange{From: from, To: from + layersPerPart},
		})
	}
	cfg := ferrysubset.Default
	chooser := ferrysubset.New(cfg)
	busy, idle := readStats{reads: make([]int, r.Runners), perSecond: cfg.ReadsPerSecond}, readStats{reads: make([]int, r.Runners), perSecond: cfg.IdleReadsPerSecond}
	var subset []int
	for _, name := range names {
		subset = chooser.Choose(name, names, engines, subset[:0])
		r.Engines += float64(len(subset)) / float64(r.Nodes)
		r.MaxEngines = max(r.MaxEngines, len(subset))
		busy.add(subset)
		idle.add(subset)
	}
	r.Reads, r.IdleReads = busy.total/readSeconds/float64(r.Nodes), idle.total/readSeconds/float64(r.Nodes)
	r.Age, r.MaxAge, r.IdleAge, r.MaxIdleAge = busy.meanAge(), busy.maxAge, idle.meanAge(), idle.maxAge
	for _, n := range busy.reads {
		r.EngineReads += float64(n) / readSeconds / float64(r.Runners)
		r.MaxEngineReads = max(r.MaxEngineReads, float64(n)/readSeconds)
	}
}

// readStats accumulates the reads of all entries at one rate.
type readStats struct {
	perSecond int
	reads     []int
	total     float64
	ages      int
	samples   int
	maxAge    time.Duration
}

// add simulates one entry that reads its subset for readSeconds. Ages are sampled in the second half, when
// every engine has been read.
func (t *readStats) add(subset []int) {
	last := make([]int, len(subset))
	var rotation ferrysubset.Rotation
	var due []int
	for second := range readSeconds {
		due = rotation.Next(len(subset), t.perSecond, due[:0])
		for _, i := range due {
			last[i] = second
			t.reads[subset[i]]++
			t.total++
		}
		if second < readSeconds/2 {
			continue
		}
		for _, at := range last {
			t.ages += second - at
			t.samples++
			t.maxAge = max(t.maxAge, time.Duration(second-at+1)*time.Second)
		}
	}
}

// meanAge returns the mean age over engines and time.
func (t *readStats) meanAge() time.Duration {
	return time.Duration((float64(t.ages)/float64(t.samples) + 0.5) * float64(time.Second))
}

// Print writes the measurements as a Markdown table.
func (rs Readings) Print(w io.Writer, cost ReadCost) {
	fmt.Fprintf(w, "\nA reading of an engine's load: %.0f B, %s of processor time at both ends together.\n\n", cost.Bytes, cost.CPU.Round(time.Microsecond))
	fmt.Fprintln(w, "| nodes | runners | engines an entry (most) | loads come | readings/s an entry | at an engine (most) | age of a report (most) | B/s an entry | core, both ends | without calls: readings/s | age (most) | B/s |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, r := range rs {
		mode := "by reading"
		if r.Shared {
			mode = "passed on"
		}
		fmt.Fprintf(w, "| %d | %d | %.1f (%d) | %s | %.2f | %.2f (%.2f) | %s (%s) | %.0f | %.3f%% | %.2f | %s (%s) | %.0f |\n", r.Nodes, r.Runners, r.Engines, r.MaxEngines, mode,
			r.Reads, r.EngineReads, r.MaxEngineReads, r.Age.Round(10*time.Millisecond), r.MaxAge.Round(10*time.Millisecond), r.Bytes, 100*r.CPU,
			r.IdleReads, r.IdleAge.Round(10*time.Millisecond), r.MaxIdleAge.Round(10*time.Millisecond), r.IdleBytes)
	}
}

// at returns the bytes/s at a number of nodes, or 0 if that size was not measured.
func (rs Readings) at(nodes int) float64 {
	for _, r := range rs {
		if r.Nodes == nodes {
			return r.Bytes
		}
	}
	return 0
}
