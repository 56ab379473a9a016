package ferrycapacity

import (
	"encoding/binary"
	"fmt"
	"slices"
	"syscall"
	"time"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypeer"
	"cactusferry.dev/ferry/ferrypeertest"
	"cactusferry.dev/ferry/ferrysubset"
)

const (
	plannedDomains  = 8
	fewDomains      = 3
	fewNodes        = 12
	settleTime      = 45 * time.Second
	measureTime     = 60 * time.Second
	convergeTimeout = 3 * time.Minute
	partitionTime   = 3 * time.Minute
	step            = 100 * time.Millisecond
	documentChange  = 16 << 10
	largeDocument   = 512 << 10
	loadsPerSecond  = 10
	loadStep        = 137
	maxPermille     = 1000
	minLoadInterval = 2 * time.Second
	topicLoads      = "loads"
	topicDocuments  = "documents"
)

var startTime = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// RunnerLoad is the load summary of one runner, in the form that entries exchange.
type RunnerLoad struct {
	_           struct{} `cbor:",toarray"`
	Runner      uint32
	Outstanding uint32
	Rate        uint16
}

// RunnerLoads are the load summaries of the runners that one entry polls.
type RunnerLoads struct {
	Loads []RunnerLoad `cbor:"1,keyasint"`
}

// Check accepts any load.
func (RunnerLoads) Check() error { return nil }

// document models the set of accepted documents: the highest generation wins and is fetched once.
type document struct {
	generation uint64
	bytes      int
}

func (d *document) encode() ferrypeer.Item {
	out := make([]byte, 8+d.bytes)
	binary.BigEndian.PutUint64(out, d.generation)
	return out
}

func (d *document) digest() []byte {
	return binary.BigEndian.AppendUint64(nil, d.generation)
}

func (d *document) missing(remote []byte) []ferrypeer.Item {
	if d.generation == 0 || (len(remote) == 8 && binary.BigEndian.Uint64(remote) >= d.generation) {
		return nil
	}
	return []ferrypeer.Item{d.encode()}
}

func (d *document) apply(it ferrypeer.Item) (bool, error) {
	if len(it) < 8 {
		return false, fmt.Errorf("decode document item: length is %d bytes, want at least 8", len(it))
	}
	n := binary.BigEndian.Uint64(it)
	if n <= d.generation {
		return false, nil
	}
	d.generation, d.bytes = n, len(it)-8
	return true, nil
}

func (d *document) topic() ferrypeer.Topic {
	return ferrypeer.Topic{Name: topicDocuments, Digest: d.digest, Missing: d.missing, Apply: d.apply}
}

// fleet is a simulated fleet of overlay cores that exchange a document and load summaries.
type fleet struct {
	*ferrypeertest.Fleet
	names            []ferryid.EntryName
	documents        map[ferryid.EntryName]*document
	loads            map[ferryid.EntryName]*ferrypeer.Latest[RunnerLoads]
	latestGeneration uint64
	runners          int
	loadSequence     int
}

func newFleet(nodes, runners int) *fleet {
	f := &fleet{
		Fleet: ferrypeertest.New(startTime), documents: map[ferryid.EntryName]*document{},
		loads: map[ferryid.EntryName]*ferrypeer.Latest[RunnerLoads]{}, runners: runners,
	}
	for i := range nodes {
		f.start(i, nodes)
	}
	f.RunUntil(step, settleTime, func() bool { return f.incompleteView() == "" })
	f.Run(settleTime)
	return f
}

func domainCount(nodes int) int {
	if nodes <= fewNodes {
		return fewDomains
	}
	return plannedDomains
}

func domainName(i, nodes int) string { return fmt.Sprintf("domain-%d", i%domainCount(nodes)) }

func (f *fleet) start(i, nodes int) {
	name := fmt.Sprintf("entry-%03d", i)
	d := &document{}
	l := ferrypeer.NewLatest[RunnerLoads](ferrypeer.LatestConfig{
		Name: topicLoads, Self: ferryid.EntryName(name), Size: 2 * nodes, Volatile: true, Clock: f.Clock, Events: f.Events,
	})
	m := f.MemberOf(name, domainName(i, nodes), 1)
	c := f.Add(m, []string{"entry-000:7400", "entry-001:7400", "entry-002:7400"}, []ferrypeer.Topic{l.Topic(), d.topic()})
	l.Notify(func(t ferrypeer.TopicName) { c.Step(ferrypeer.Published{Topic: t}) })
	f.names = append(f.names, m.Name)
	f.documents[m.Name], f.loads[m.Name] = d, l
}

// incompleteView describes an entry whose membership view is incomplete, or returns an empty string if all
// views agree.
func (f *fleet) incompleteView() string {
	n := len(f.Cores())
	for name, c := range f.Cores() {
		alive := 0
		for _, m := range c.Overlay.Members().List {
			if m.Status == ferrypeer.Alive && f.Core(m.Name) != nil {
				alive++
			}
		}
		if alive != n {
			return fmt.Sprintf("membership view of %s lists %d of %d entries as alive", name, alive, n)
		}
	}
	return ""
}

// change publishes a document of the given size at one entry and returns the time until every entry holds it.
func (f *fleet) change(at, bytes int) (time.Duration, bool) {
	f.latestGeneration++
	name := f.names[at%len(f.names)]
	*f.documents[name] = document{generation: f.latestGeneration, bytes: bytes}
	f.Core(name).Step(ferrypeer.Published{Topic: topicDocuments})
	return f.RunUntil(time.Millisecond, convergeTimeout, f.converged)
}

func (f *fleet) converged() bool {
	for name := range f.Cores() {
		if f.documents[name].generation != f.latestGeneration {
			return false
		}
	}
	return true
}

// loadInterval returns the interval at which an entry publishes the load summaries of the runners that it
// polls.
func loadInterval(nodes int) time.Duration {
	return max(minLoadInterval, time.Duration(nodes)*time.Second/loadsPerSecond)
}

// refreshLoads has the entries publish, in turn, a new load of their own. If every entry uses all runners,
// the entries publish load summaries of the runners too.
func (f *fleet) refreshLoads(d time.Duration) {
	interval := loadInterval(len(f.names))
	every := interval / time.Duration(len(f.names))
	for spent := time.Duration(0); spent < d; spent += every {
		f.loadSequence++
		i := f.loadSequence % len(f.names)
		if ferrysubset.Default.UsesAll(len(f.names), f.runners) {
			f.loads[f.names[i]].Set(string(f.names[i]), f.runnerLoads(i), 4*interval)
		}
		f.Core(f.names[i]).Step(ferrypeer.SelfChanged{State: ferrypeer.Ready, Load: ferrypeer.Load{Permille: uint16(f.loadSequence*loadStep) % maxPermille}})
		f.Run(every)
	}
}

func (f *fleet) runnerLoads(i int) RunnerLoads {
	var ls RunnerLoads
	for r := i; r < f.runners; r += len(f.names) {
		h := uint32(r+1) * 0x9E3779B1
		ls.Loads = append(ls.Loads, RunnerLoad{Runner: h, Outstanding: h >> 16, Rate: 1000 + uint16(f.loadSequence%100)})
	}
	return ls
}

// traffic is what a node sends and receives per second: the means of bytes and messages, and the maximum of
// bytes.
type traffic struct {
	Bytes, MaxBytes, Messages float64
}

func (f *fleet) resetTraffic() {
	for _, c := range f.Cores() {
		c.Traffic = ferrypeertest.Traffic{}
		clear(c.ByKind)
	}
}

func (f *fleet) trafficOver(d time.Duration) traffic {
	var t traffic
	for _, c := range f.Cores() {
		b := float64(c.Traffic.Bytes) / d.Seconds()
		t.Bytes += b / float64(len(f.Cores()))
		t.Messages += float64(c.Traffic.Messages) / d.Seconds() / float64(len(f.Cores()))
		t.MaxBytes = max(t.MaxBytes, b)
	}
	return t
}

func (f *fleet) linkCounts() (mean float64, maxLinks int) {
	for _, c := range f.Cores() {
		n := len(c.Overlay.Links())
		mean += float64(n) / float64(len(f.Cores()))
		maxLinks = max(maxLinks, n)
	}
	return mean, maxLinks
}

// processorTime returns the user and system time of this process.
func processorTime() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

func median(ds []time.Duration) time.Duration {
	if len(ds) == 0 {
		return 0
	}
	slices.Sort(ds)
	return ds[len(ds)/2]
}
