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
	domains        = 8
	fewDomains     = 3
	fewNodes       = 12
	settleFor      = 45 * time.Second
	measureFor     = 60 * time.Second
	healWithin     = 3 * time.Minute
	cutFor         = 3 * time.Minute
	step           = 100 * time.Millisecond
	documentChange = 16 << 10
	largeDocument  = 512 << 10
	loadsPerSecond = 10
	loadStep       = 137
	maxPermille    = 1000
	leastLoadEvery = 2 * time.Second
	topicLoads     = "loads"
	topicDocuments = "documents"
)

var startOfTime = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// RunnerLoad is one runner's load summary as it is spread.
type RunnerLoad struct {
	_           struct{} `cbor:",toarray"`
	Runner      uint32
	Outstanding uint32
	Rate        uint16
}

// RunnerLoads are the load summaries of the runners that one entry asks.
type RunnerLoads struct {
	Loads []RunnerLoad `cbor:"1,keyasint"`
}

// Check accepts any load.
func (RunnerLoads) Check() error { return nil }

// document stands for the accepted documents: the highest generation wins and is pulled once.
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
		return false, fmt.Errorf("document of %d bytes", len(it))
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

// fleet is a measured fleet of cores with a document and load summaries to spread.
type fleet struct {
	*ferrypeertest.Fleet
	names     []ferryid.EntryName
	documents map[ferryid.EntryName]*document
	loads     map[ferryid.EntryName]*ferrypeer.Latest[RunnerLoads]
	newest    uint64
	runners   int
	nextLoad  int
}

func newFleet(nodes, runners int) *fleet {
	f := &fleet{
		Fleet: ferrypeertest.New(startOfTime), documents: map[ferryid.EntryName]*document{},
		loads: map[ferryid.EntryName]*ferrypeer.Latest[RunnerLoads]{}, runners: runners,
	}
	for i := range nodes {
		f.start(i, nodes)
	}
	f.RunUntil(step, settleFor, func() bool { return f.apartBy() == "" })
	f.Run(settleFor)
	return f
}

func domainsOf(nodes int) int {
	if nodes <= fewNodes {
		return fewDomains
	}
	return domains
}

func domainName(i, nodes int) string { return fmt.Sprintf("domain-%d", i%domainsOf(nodes)) }

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

// apartBy says what keeps the fleet from holding one membership, or nothing.
func (f *fleet) apartBy() string {
	n := len(f.Cores())
	for name, c := range f.Cores() {
		alive := 0
		for _, m := range c.Overlay.Members().List {
			if m.Status == ferrypeer.Alive && f.Core(m.Name) != nil {
				alive++
			}
		}
		if alive != n {
			return fmt.Sprintf("%s holds %d of %d", name, alive, n)
		}
	}
	return ""
}

// change publishes a document of the given size at one entry and returns the time until every entry holds it.
func (f *fleet) change(at, bytes int) (time.Duration, bool) {
	f.newest++
	name := f.names[at%len(f.names)]
	*f.documents[name] = document{generation: f.newest, bytes: bytes}
	f.Core(name).Step(ferrypeer.Published{Topic: topicDocuments})
	return f.RunUntil(time.Millisecond, healWithin, f.everywhere)
}

func (f *fleet) everywhere() bool {
	for name := range f.Cores() {
		if f.documents[name].generation != f.newest {
			return false
		}
	}
	return true
}

// loadsEvery is how often an entry spreads the summaries of the runners it asks.
func loadsEvery(nodes int) time.Duration {
	return max(leastLoadEvery, time.Duration(nodes)*time.Second/loadsPerSecond)
}

// refreshLoads lets the entries in turn spread load summaries of their runners, where all work all, and a load of their own that moves each time.
func (f *fleet) refreshLoads(d time.Duration) {
	each := loadsEvery(len(f.names))
	every := each / time.Duration(len(f.names))
	for spent := time.Duration(0); spent < d; spent += every {
		f.nextLoad++
		i := f.nextLoad % len(f.names)
		if ferrysubset.Default.UsesAll(len(f.names), f.runners) {
			f.loads[f.names[i]].Set(string(f.names[i]), f.loadsOf(i), 4*each)
		}
		f.Core(f.names[i]).Step(ferrypeer.SelfChanged{State: ferrypeer.Ready, Load: ferrypeer.Load{Permille: uint16(f.nextLoad*loadStep) % maxPermille}})
		f.Run(every)
	}
}

func (f *fleet) loadsOf(i int) RunnerLoads {
	var ls RunnerLoads
	for r := i; r < f.runners; r += len(f.names) {
		h := uint32(r+1) * 0x9E3779B1
		ls.Loads = append(ls.Loads, RunnerLoad{Runner: h, Outstanding: h >> 16, Rate: 1000 + uint16(f.nextLoad%100)})
	}
	return ls
}

// traffic is what a node sends and receives a second, on the average and at the most.
type traffic struct {
	Bytes, MostBytes, Messages float64
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
		t.MostBytes = max(t.MostBytes, b)
	}
	return t
}

func (f *fleet) mostLinks() (mean float64, most int) {
	for _, c := range f.Cores() {
		n := len(c.Overlay.Links())
		mean += float64(n) / float64(len(f.Cores()))
		most = max(most, n)
	}
	return mean, most
}

// processorTime is the processor time that this process has spent.
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
