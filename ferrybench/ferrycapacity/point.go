package ferrycapacity

import (
	"fmt"
	"runtime"
	"time"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypeer"
)

// Point holds the measurements of one fleet size.
type Point struct {
	Nodes   int
	Runners int

	// Links is the mean number of peer links of a node.
	Links    float64
	MaxLinks int
	// IdleBytes is the bytes/s that a node sends and receives without changes, including headers and
	// acknowledgements.
	IdleBytes    float64
	IdleMessages float64
	// LoadBytes is the same while load summaries of the runners are exchanged.
	LoadBytes    float64
	MaxLoadBytes float64
	LoadMessages float64
	// MedianPropagation is the median time for a document change to reach every node; MaxPropagation is the
	// maximum.
	MedianPropagation time.Duration
	MaxPropagation    time.Duration
	// ChangeBytes is the bytes that a node sends and receives for one change of a document of 16 KiB.
	ChangeBytes float64
	// LargeBytes and LargePropagation are the bytes and the time for a document of 512 KiB.
	LargeBytes       float64
	LargePropagation time.Duration
	// RestartBytes is the bytes that a node sends and receives for one restart of another node.
	RestartBytes float64
	// LoadCPU is the share of a core that a node uses while load summaries are exchanged, including the
	// overhead of the simulation.
	LoadCPU float64
	// StateBytes is the heap that a node uses for membership, links and load summaries.
	StateBytes float64

	// DomainLossDetection is the time until no survivor lists a member of a lost failure domain as live.
	DomainLossDetection time.Duration
	// RejoinTime is the time from the end of a network partition until all membership views are complete, and
	// RejoinBytes the mean bytes that a node sent and received in that time.
	RejoinTime  time.Duration
	RejoinBytes float64
	// MaxRejoinBytes is the maximum that any node sent and received in one second of rejoining.
	MaxRejoinBytes float64

	// Watches is the number of watches that the fleet holds on the platform: two per failure domain for each
	// of two kinds.
	Watches int
}

// Points are the measured points, ordered by the number of nodes.
type Points []Point

// Measure simulates a fleet of one size on a virtual clock in this process and measures it.
func Measure(nodes, runners int) Point {
	before := heapBytes()
	f := newFleet(nodes, runners)
	p := Point{Nodes: nodes, Runners: runners}
	f.Measure = true
	p.Links, p.MaxLinks = f.linkCounts()
	f.measureIdle(&p)
	f.measureLoads(&p)
	p.StateBytes = max(0, float64(heapBytes()-before)/float64(nodes))
	f.measureChanges(&p)
	f.measureRestart(&p)
	f.measureWatches(&p)
	f.measurePartition(&p)
	f.measureDomainLoss(&p)
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

func (f *fleet) measureIdle(p *Point) {
	f.resetTraffic()
	f.Run(measureTime)
	t := f.trafficOver(measureTime)
	p.IdleBytes, p.IdleMessages = t.Bytes, t.Messages
}

func (f *fleet) measureLoads(p *Point) {
	f.refreshLoads(settleTime / 3)
	f.resetTraffic()
	cpu := processorTime()
	f.refreshLoads(measureTime)
	p.LoadCPU = (processorTime() - cpu).Seconds() / measureTime.Seconds() / float64(p.Nodes)
	t := f.trafficOver(measureTime)
	p.LoadBytes, p.MaxLoadBytes, p.LoadMessages = t.Bytes, t.MaxBytes, t.Messages
}

func (f *fleet) measureChanges(p *Point) {
	const tries = 9
	var took []time.Duration
	for i := range tries {
		f.resetTraffic()
		d, ok := f.change(i*31, documentChange)
		if !ok {
			d = convergeTimeout
		}
		took = append(took, d)
		p.ChangeBytes += (f.trafficOver(time.Second).Bytes - p.IdleBytes*d.Seconds()) / tries
		f.Run(5 * time.Second)
	}
	p.MaxPropagation = 0
	for _, d := range took {
		p.MaxPropagation = max(p.MaxPropagation, d)
	}
	p.MedianPropagation = median(took)
	f.resetTraffic()
	p.LargePropagation, _ = f.change(0, largeDocument)
	p.LargeBytes = f.trafficOver(time.Second).Bytes
	f.change(1, documentChange)
}

// measureRestart crashes a node and starts it again as a new incarnation, which gets the membership from the
// other nodes. The simulation keeps the node's document and load summaries.
func (f *fleet) measureRestart(p *Point) {
	const within = 30 * time.Second
	i := p.Nodes / 2
	f.resetTraffic()
	f.Crash(f.names[i])
	m := f.MemberOf(fmt.Sprintf("entry-%03d", i), domainName(i, p.Nodes), 2)
	c := f.Add(m, []string{"entry-000:7400", "entry-001:7400"}, []ferrypeer.Topic{f.loads[m.Name].Topic(), f.documents[m.Name].topic()})
	f.loads[m.Name].Notify(func(t ferrypeer.TopicName) { c.Step(ferrypeer.Published{Topic: t}) })
	f.Run(within)
	p.RestartBytes = max(0, f.trafficOver(time.Second).Bytes-p.IdleBytes*within.Seconds())
}

func (f *fleet) measureWatches(p *Point) {
	p.Watches = countWatches(f)
}

// measurePartition separates half of the failure domains from the others for partitionTime and then heals the
// network.
func (f *fleet) measurePartition(p *Point) {
	for i := range domainCount(p.Nodes) / 2 {
		f.Partition(1, ferryid.DomainName(domainName(i, p.Nodes)))
	}
	f.Run(partitionTime)
	f.Heal()
	f.resetTraffic()
	last := map[ferryid.EntryName]uint64{}
	took, ok := f.RunUntil(time.Second, convergeTimeout, func() bool {
		for name, c := range f.Cores() {
			p.MaxRejoinBytes = max(p.MaxRejoinBytes, float64(c.Traffic.Bytes-last[name]))
			last[name] = c.Traffic.Bytes
		}
		return f.incompleteView() == ""
	})
	if !ok {
		took = convergeTimeout
	}
	p.RejoinTime = took
	p.RejoinBytes = f.trafficOver(time.Second).Bytes
	f.Run(settleTime)
}

// measureDomainLoss crashes all nodes of one failure domain at once.
func (f *fleet) measureDomainLoss(p *Point) {
	lost := domainName(1, p.Nodes)
	for i := range p.Nodes {
		if domainName(i, p.Nodes) == lost {
			f.Crash(f.names[i])
		}
	}
	took, ok := f.RunUntil(step, convergeTimeout, func() bool {
		for _, c := range f.Cores() {
			if len(c.Overlay.Members().Live()) != len(f.Cores()) {
				return false
			}
		}
		return true
	})
	if !ok {
		took = convergeTimeout
	}
	p.DomainLossDetection = took
}
