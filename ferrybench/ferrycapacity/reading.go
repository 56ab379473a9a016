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
	readTries    = 2000
	readTimeout  = 10 * time.Second
	readSeconds  = 60
	partsOfModel = 4
	layersOfPart = 8
	// headerBytes and ackBytes are what a message costs below HTTP.
	headerBytes = 60
	ackBytes    = 52
	// passedOnPerSecond is what the fleet says of loads where all entries work all engines.
	passedOnPerSecond = 20
)

// ReadCost is what one reading of an engine's load costs.
type ReadCost struct {
	// Bytes are both ways, headers and acknowledgements included.
	Bytes float64
	// CPU is the processor time of both ends together.
	CPU time.Duration
}

// countedConn counts what passes.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read reads and counts.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write writes and counts.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

type countedListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept counts what passes over the connection.
func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countedConn{c, l.bytes}, err
}

// MeasureRead reads a stand-in engine over loopback many times, on one connection that is kept.
func MeasureRead(ctx context.Context) (ReadCost, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return ReadCost{}, err
	}
	var bytes atomic.Int64
	e := ferrystandengine.New(ferrystandengine.Config{Name: "engine-0001", Service: "herd-llm", Layers: ferryid.LayerRange{To: layersOfPart}})
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

// Reading is what entries spend on the engines' loads at one fleet size, and how old these are.
type Reading struct {
	Nodes, Runners int
	// PassedOn says that all entries work all engines and read them for each other.
	PassedOn bool
	// Engines is how many engines an entry works.
	Engines     float64
	MostEngines int
	// Reads are the readings a second by an entry, and EngineReads those at an engine.
	Reads, EngineReads, MostEngineReads float64
	// Age is how old a report is: the mean over engines and seconds, and the most.
	Age, MostAge time.Duration
	// The rest is while no entry has calls.
	RestReads            float64
	RestAge, MostRestAge time.Duration
	RestBytes            float64
	// Bytes are sent and received a second by an entry for its readings; what is passed on comes on top.
	Bytes float64
	// CPU is the share of a core of both ends.
	CPU float64
}

// Readings are the measured sizes.
type Readings []Reading

// MeasureReading lets the entries of one fleet size choose and take turns on a clock of seconds.
func MeasureReading(nodes, runners int, cost ReadCost) Reading {
	r := Reading{Nodes: nodes, Runners: runners, PassedOn: ferrysubset.Default.UsesAll(nodes, runners)}
	if r.PassedOn {
		r.passOn()
	} else {
		r.readOwn()
	}
	r.RestBytes = r.RestReads * cost.Bytes
	r.Bytes, r.CPU = r.Reads*cost.Bytes, r.Reads*cost.CPU.Seconds()
	return r
}

// passOn works out what ferryd's cap gives.
func (r *Reading) passOn() {
	every := max(1, float64(r.Runners)/passedOnPerSecond)
	r.Engines, r.MostEngines = float64(r.Runners), r.Runners
	r.EngineReads, r.MostEngineReads = 1/every, 1/every
	r.Reads = float64(r.Runners) / every / float64(r.Nodes)
	r.MostAge = time.Duration(every * float64(time.Second))
	r.Age = r.MostAge / 2
	r.RestReads, r.RestAge, r.MostRestAge = r.Reads, r.Age, r.MostAge
}

func (r *Reading) readOwn() {
	var names []ferryid.EntryName
	for i := range r.Nodes {
		names = append(names, ferryid.EntryName(fmt.Sprintf("entry-%03d", i)))
	}
	var engines []ferrysubset.Candidate
	for i := range r.Runners {
		from := ferryid.Layer(i % partsOfModel * layersOfPart)
		engines = append(engines, ferrysubset.Candidate{
			Name:   ferryid.UpstreamName(fmt.Sprintf("engine-%04d", i)),
			Domain: ferryid.DomainName(domainName(i/partsOfModel, r.Nodes)), Layers: ferryid.LayerRange{From: from, To: from + layersOfPart},
		})
	}
	cfg := ferrysubset.Default
	chooser := ferrysubset.New(cfg)
	busy, rest := turnsOf{reads: make([]int, r.Runners), perSecond: cfg.ReadsPerSecond}, turnsOf{reads: make([]int, r.Runners), perSecond: cfg.IdleReadsPerSecond}
	var subset []int
	for _, name := range names {
		subset = chooser.Choose(name, names, engines, subset[:0])
		r.Engines += float64(len(subset)) / float64(r.Nodes)
		r.MostEngines = max(r.MostEngines, len(subset))
		busy.take(subset)
		rest.take(subset)
	}
	r.Reads, r.RestReads = busy.total/readSeconds/float64(r.Nodes), rest.total/readSeconds/float64(r.Nodes)
	r.Age, r.MostAge, r.RestAge, r.MostRestAge = busy.age(), busy.most, rest.age(), rest.most
	for _, n := range busy.reads {
		r.EngineReads += float64(n) / readSeconds / float64(r.Runners)
		r.MostEngineReads = max(r.MostEngineReads, float64(n)/readSeconds)
	}
}

// turnsOf are the readings of all entries at one rate.
type turnsOf struct {
	perSecond int
	reads     []int
	total     float64
	ages      int
	samples   int
	most      time.Duration
}

// take lets one entry read its subset for a while; ages count from when all have been read.
func (t *turnsOf) take(subset []int) {
	last := make([]int, len(subset))
	var turns ferrysubset.Rotation
	var turn []int
	for second := range readSeconds {
		turn = turns.Next(len(subset), t.perSecond, turn[:0])
		for _, i := range turn {
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
			t.most = max(t.most, time.Duration(second-at+1)*time.Second)
		}
	}
}

// age is the mean over engines and time.
func (t *turnsOf) age() time.Duration {
	return time.Duration((float64(t.ages)/float64(t.samples) + 0.5) * float64(time.Second))
}

// Print writes the sizes as a table.
func (rs Readings) Print(w io.Writer, cost ReadCost) {
	fmt.Fprintf(w, "\nA reading of an engine's load: %.0f B, %s of processor time at both ends together.\n\n", cost.Bytes, cost.CPU.Round(time.Microsecond))
	fmt.Fprintln(w, "| nodes | runners | engines an entry (most) | loads come | readings/s an entry | at an engine (most) | age of a report (most) | B/s an entry | core, both ends | without calls: readings/s | age (most) | B/s |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, r := range rs {
		way := "by reading"
		if r.PassedOn {
			way = "passed on"
		}
		fmt.Fprintf(w, "| %d | %d | %.1f (%d) | %s | %.2f | %.2f (%.2f) | %s (%s) | %.0f | %.3f%% | %.2f | %s (%s) | %.0f |\n", r.Nodes, r.Runners, r.Engines, r.MostEngines, way,
			r.Reads, r.EngineReads, r.MostEngineReads, r.Age.Round(10*time.Millisecond), r.MostAge.Round(10*time.Millisecond), r.Bytes, 100*r.CPU,
			r.RestReads, r.RestAge.Round(10*time.Millisecond), r.MostRestAge.Round(10*time.Millisecond), r.RestBytes)
	}
}

// at returns the bytes a second at a number of nodes, or 0 if it was not measured.
func (rs Readings) at(nodes int) float64 {
	for _, r := range rs {
		if r.Nodes == nodes {
			return r.Bytes
		}
	}
	return 0
}
