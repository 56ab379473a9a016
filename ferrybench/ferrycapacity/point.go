package ferrycapacity

import (
	"fmt"
	"runtime"
	"time"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypeer"
)

// Point is what was measured at one fleet size.
type Point struct {
	Nodes   int
	Runners int

	// Links are the peer links of a node.
	Links     float64
	MostLinks int
	// RestBytes are sent and received a second by a node with nothing changing, headers and acknowledgements included.
	RestBytes    float64
	RestMessages float64
	// LoadBytes are the same with the runners' load summaries spread.
	LoadBytes     float64
	MostLoadBytes float64
	LoadMessages  float64
	// Everywhere is the time for a document change to reach every node: the median and the longest of the changes tried.
	Everywhere     time.Duration
	MostEverywhere time.Duration
	// ChangeBytes are sent and received by a node for one change of a document of 16 KiB.
	ChangeBytes float64
	// LargeBytes are the same for a document of 512 KiB, and LargeEverywhere the time it takes.
	LargeBytes      float64
	LargeEverywhere time.Duration
	// RestartBytes are sent and received by a node for one restart of another.
	RestartBytes float64
	// LoadCPU is the share of a core that a node spends while loads are spread, with the harness's own work in it.
	LoadCPU float64
	// StateBytes are held by a node for membership, links and load summaries.
	StateBytes float64

	// DomainLost is the time until no survivor holds a member of a lost failure domain as live.
	DomainLost time.Duration
	// Rejoined is the time from the end of a cut of minutes until all hold all again, and RejoinBytes what a node spent on it.
	Rejoined    time.Duration
	RejoinBytes float64
	// MostRejoinBytes is the most bytes that any node spent in one second of rejoining.
	MostRejoinBytes float64

	// Watches are the waiting watches on the platform of the whole fleet, two to a failure domain for each of two kinds.
	Watches int
}

// Points are the measured points, ordered by the number of nodes.
type Points []Point

// Measure measures one fleet size with cores on a passed-in clock in this process.
func Measure(nodes, runners int) Point {
	before := heapBytes()
	f := newFleet(nodes, runners)
	p := Point{Nodes: nodes, Runners: runners}
	f.Measure = true
	p.Links, p.MostLinks = f.mostLinks()
	f.rest(&p)
	f.spread(&p)
	p.StateBytes = max(0, float64(heapBytes()-before)/float64(nodes))
	f.changes(&p)
	f.restart(&p)
	f.watches(&p)
	f.cut(&p)
	f.loseDomain(&p)
	runtime.KeepAlive(f)
	return p
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func (f *fleet) rest(p *Point) {
	f.resetTraffic()
	f.Run(measureFor)
	t := f.trafficOver(measureFor)
	p.RestBytes, p.RestMessages = t.Bytes, t.Messages
}

func (f *fleet) spread(p *Point) {
	f.refreshLoads(settleFor / 3)
	f.resetTraffic()
	cpu := processorTime()
	f.refreshLoads(measureFor)
	p.LoadCPU = (processorTime() - cpu).Seconds() / measureFor.Seconds() / float64(p.Nodes)
	t := f.trafficOver(measureFor)
	p.LoadBytes, p.MostLoadBytes, p.LoadMessages = t.Bytes, t.MostBytes, t.Messages
}

func (f *fleet) changes(p *Point) {
	const tries = 9
	var took []time.Duration
	for i := range tries {
		f.resetTraffic()
		d, ok := f.change(i*31, documentChange)
		if !ok {
			d = healWithin
		}
		took = append(took, d)
		p.ChangeBytes += (f.trafficOver(time.Second).Bytes - p.RestBytes*d.Seconds()) / tries
		f.Run(5 * time.Second)
	}
	p.MostEverywhere = 0
	for _, d := range took {
		p.MostEverywhere = max(p.MostEverywhere, d)
	}
	p.Everywhere = median(took)
	f.resetTraffic()
	p.LargeEverywhere, _ = f.change(0, largeDocument)
	p.LargeBytes = f.trafficOver(time.Second).Bytes
	f.change(1, documentChange)
}

// restart crashes a node and starts it anew; its state is learned from the others again.
func (f *fleet) restart(p *Point) {
	const within = 30 * time.Second
	i := p.Nodes / 2
	f.resetTraffic()
	f.Crash(f.names[i])
	m := f.MemberOf(fmt.Sprintf("entry-%03d", i), domainName(i, p.Nodes), 2)
	c := f.Add(m, []string{"entry-000:7400", "entry-001:7400"}, []ferrypeer.Topic{f.loads[m.Name].Topic(), f.documents[m.Name].topic()})
	f.loads[m.Name].Notify(func(t ferrypeer.TopicName) { c.Step(ferrypeer.Published{Topic: t}) })
	f.Run(within)
	p.RestartBytes = max(0, f.trafficOver(time.Second).Bytes-p.RestBytes*within.Seconds())
}

func (f *fleet) watches(p *Point) {
	p.Watches = watchesOf(f)
}

// cut parts half of the failure domains from the others for minutes and joins them again.
func (f *fleet) cut(p *Point) {
	for i := range domainsOf(p.Nodes) / 2 {
		f.Cut(1, ferryid.DomainName(domainName(i, p.Nodes)))
	}
	f.Run(cutFor)
	f.Heal()
	f.resetTraffic()
	last := map[ferryid.EntryName]uint64{}
	took, ok := f.RunUntil(time.Second, healWithin, func() bool {
		for name, c := range f.Cores() {
			p.MostRejoinBytes = max(p.MostRejoinBytes, float64(c.Traffic.Bytes-last[name]))
			last[name] = c.Traffic.Bytes
		}
		return f.apartBy() == ""
	})
	if !ok {
		took = healWithin
	}
	p.Rejoined = took
	p.RejoinBytes = f.trafficOver(time.Second).Bytes
	f.Run(settleFor)
}

// loseDomain crashes all nodes of one failure domain at once.
func (f *fleet) loseDomain(p *Point) {
	lost := domainName(1, p.Nodes)
	for i := range p.Nodes {
		if domainName(i, p.Nodes) == lost {
			f.Crash(f.names[i])
		}
	}
	took, ok := f.RunUntil(step, healWithin, func() bool {
		for _, c := range f.Cores() {
			if len(c.Overlay.Members().Live()) != len(f.Cores()) {
				return false
			}
		}
		return true
	})
	if !ok {
		took = healWithin
	}
	p.DomainLost = took
}
