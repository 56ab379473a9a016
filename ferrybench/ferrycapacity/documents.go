package ferrycapacity

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cactusferry.dev/ferry/ferrydocument"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypeer"
	"cactusferry.dev/ferry/ferrypeertest"
	"cactusferry.dev/ferry/ferryservice"
)

const (
	changedService = "parlour-api"
	changeWindow   = 3 * time.Second
)

// ChangePoint is the mean cost per entry of a change of one line of a document.
type ChangePoint struct {
	Entries int
	// Size is the size of the document in bytes.
	Size int
	// FullBytes is the bytes sent and received per change if documents are sent in full, DeltaBytes if sent
	// as deltas. Both include headers, acknowledgements and offers.
	FullBytes, DeltaBytes float64
	// Propagation is the time until every entry holds the change, sent as a delta.
	Propagation time.Duration
	// FullCPU and DeltaCPU are the processor time of the change at one entry.
	FullCPU, DeltaCPU time.Duration
}

// documentFleet distributes accepted documents between entries as ferryd does.
type documentFleet struct {
	*ferrypeertest.Fleet
	holders []*ferrydocument.Holder
	names   []ferryid.EntryName
	full    bool
	last    ferryservice.Accepted
}

func (f *documentFleet) topic(h *ferrydocument.Holder) ferrypeer.Topic {
	return ferrypeer.Topic{
		Name:    topicDocuments,
		Digest:  func() []byte { return encodeCBOR(f.digestOf(h)) },
		Missing: func(b []byte) []ferrypeer.Item { return missingItems(h, b) },
		Apply:   func(it ferrypeer.Item) (bool, error) { return applyItem(h, it) },
	}
}

func (f *documentFleet) digestOf(h *ferrydocument.Holder) ferrydocument.Digest {
	d := h.Digest()
	for i := range d {
		d[i].AcceptsDeltas = !f.full
	}
	return d
}

func missingItems(h *ferrydocument.Holder, b []byte) []ferrypeer.Item {
	var d ferrydocument.Digest
	if err := cbor.Unmarshal(b, &d); err != nil {
		d = nil
	}
	var items []ferrypeer.Item
	for _, u := range h.Updates(d) {
		items = append(items, encodeCBOR(u))
	}
	return items
}

func applyItem(h *ferrydocument.Holder, it ferrypeer.Item) (bool, error) {
	var u ferrydocument.Update
	if err := cbor.Unmarshal(it, &u); err != nil {
		return false, err
	}
	v, err := h.OfferUpdate(u, "peer")
	return v == ferrydocument.Taken, err
}

func newDocumentFleet(entries int, full bool) *documentFleet {
	f := &documentFleet{Fleet: ferrypeertest.New(startTime), full: full}
	for i := range entries {
		h := ferrydocument.NewHolder(f.Clock, nil)
		m := f.MemberOf(fmt.Sprintf("entry-%03d", i), domainName(i, entries), 1)
		f.Add(m, []string{"entry-000:7400", "entry-001:7400", "entry-002:7400"}, []ferrypeer.Topic{f.topic(h)})
		f.holders = append(f.holders, h)
		f.names = append(f.names, m.Name)
	}
	f.Run(settleTime)
	f.Measure = true
	return f
}

// change has an entry accept the text. It returns the time until all entries hold the text, and the bytes
// sent and received by all entries within changeWindow.
func (f *documentFleet) change(at int, text string) (time.Duration, float64) {
	for _, c := range f.Cores() {
		c.Traffic = ferrypeertest.Traffic{}
	}
	next := f.last.Successor()
	next.Service, next.Source = changedService, text
	next.ApplyID = fmt.Sprintf("0192f3aa-0000-7000-8000-%012d", next.Generation)
	f.last = next
	f.holders[at].Offer(next, "apply")
	f.Core(f.names[at]).Step(ferrypeer.Published{Topic: topicDocuments})
	took, _ := f.RunUntil(time.Millisecond, convergeTimeout, f.converged)
	f.Run(changeWindow - min(took, changeWindow))
	bytes := 0.0
	for _, c := range f.Cores() {
		bytes += float64(c.Traffic.Bytes)
	}
	return took, bytes
}

func (f *documentFleet) converged() bool {
	for _, h := range f.holders {
		if in, ok := h.Get(changedService); !ok || in.Accepted.Generation != f.last.Generation {
			return false
		}
	}
	return true
}

// idleBytes returns the bytes sent and received by all entries within changeWindow if no document changes.
func (f *documentFleet) idleBytes() float64 {
	for _, c := range f.Cores() {
		c.Traffic = ferrypeertest.Traffic{}
	}
	f.Run(changeWindow)
	bytes := 0.0
	for _, c := range f.Cores() {
		bytes += float64(c.Traffic.Bytes)
	}
	return bytes
}

// documentText returns a document of about the given size, made of customers with one key each.
func documentText(bytes int) string {
	var s strings.Builder
	fmt.Fprintf(&s, "Service = %q\nTeam = \"parlour\"\nKind = \"Plain\"\n[[Upstreams]]\nName = \"robots-1\"\nAddress = \"10.0.0.1:80\"\nFailureDomain = \"ruse-a\"\nSlots = 8\n"+
		"[[Routes]]\nMethod = \"POST\"\nPath = \"/rations/*\"\nIdempotent = false\n", changedService)
	for i := 0; s.Len() < bytes; i++ {
		key := fmt.Sprintf("%016x%016x%016x%016x", pseudoRandom(4*i), pseudoRandom(4*i+1), pseudoRandom(4*i+2), pseudoRandom(4*i+3))
		fmt.Fprintf(&s, "[[Customers]]\nName = \"farm-%d\"\nKeySHA256 = [%q]\nShare = 1.0\n", i, key)
	}
	return s.String()
}

// pseudoRandom returns a pseudo-random number, so that keys made from it do not compress.
func pseudoRandom(i int) uint64 {
	x := uint64(i+1) * 0x9E3779B97F4A7C15
	x = (x ^ x>>30) * 0xBF58476D1CE4E5B9
	x = (x ^ x>>27) * 0x94D049BB133111EB
	return x ^ x>>31
}

// changeLine returns the text with one line near the middle changed.
func changeLine(text string, share int) string {
	const line = "Share = 1.0\n"
	i := len(text)/2 + strings.Index(text[len(text)/2:], line)
	return text[:i] + fmt.Sprintf("Share = %d.5\n", share) + text[i+len(line):]
}

// MeasureChange measures the change of one line of a document, sent in full and as a delta.
func MeasureChange(entries, size int) ChangePoint {
	p := ChangePoint{Entries: entries, Size: size}
	p.FullBytes, _, p.FullCPU = measureChange(entries, size, true)
	p.DeltaBytes, p.Propagation, p.DeltaCPU = measureChange(entries, size, false)
	return p
}

func measureChange(entries, size int, full bool) (bytes float64, took, cpu time.Duration) {
	const tries = 3
	f := newDocumentFleet(entries, full)
	text := documentText(size)
	f.change(0, text)
	idle := f.idleBytes()
	for i := range tries {
		began := processorTime()
		d, b := f.change(i*31%entries, changeLine(text, i+1))
		cpu += (processorTime() - began) / time.Duration(tries*entries)
		bytes += (b - idle) / float64(tries*entries)
		took = max(took, d)
	}
	return bytes, took, cpu
}

// PrintChanges writes the points as a Markdown table.
func PrintChanges(w io.Writer, ps []ChangePoint) {
	fmt.Fprintln(w, "| entries | document | B a change, whole | as a difference | B/s at 1,100 a day, whole | as a difference | everywhere | processor time, whole | as a difference |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|")
	const perDay = float64(planChangesPerDay) / secondsPerDay
	for _, p := range ps {
		fmt.Fprintf(w, "| %d | %d KiB | %.0f | %.0f | %.0f | %.0f | %s | %s | %s |\n", p.Entries, p.Size>>10, p.FullBytes, p.DeltaBytes,
			p.FullBytes*perDay, p.DeltaBytes*perDay, p.Propagation, p.FullCPU.Round(100*time.Microsecond), p.DeltaCPU.Round(100*time.Microsecond))
	}
}
