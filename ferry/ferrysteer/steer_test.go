package ferrysteer_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypeer"
	"cactusferry.dev/ferry/ferrysteer"
)

const (
	answerLifetime        = 60
	reportLag             = 2
	loadBound             = 1.25
	minCallersPerCustomer = 4
)

func membersOf(n, domains int) ferrypeer.Members {
	var ms ferrypeer.Members
	for i := range n {
		name := fmt.Sprintf("entry-%03d", i)
		ms.List = append(ms.List, ferrypeer.MemberInfo{
			Member: ferrypeer.Member{
				Name: ferryid.EntryName(name), CallerAddress: name + ":8400", FailureDomain: ferryid.DomainName(fmt.Sprintf("domain-%d", i%domains)),
			},
			State: ferrypeer.Ready, Status: ferrypeer.Alive,
		})
	}
	return ms
}

func customersOf(n, large int) []ferrysteer.Customer {
	sum := float64(n-large) + 5*float64(large)
	var out []ferrysteer.Customer
	for i := range n {
		c := ferrysteer.Customer{Service: "herd-llm", Name: ferryid.CustomerName(fmt.Sprintf("customer-%04d", i)), Share: 1, Shares: sum}
		if i < large {
			c.Share = 5
		}
		out = append(out, c)
	}
	return out
}

// caller keeps an answer for a minute and fails over to the next entry in it if one is gone.
type caller struct {
	customer int
	rate     float64
	answer   ferrysteer.Answer
	until    int
	serial   int
}

// simulation is a set of callers and entries that advances in steps of one second.
type simulation struct {
	members   ferrypeer.Members
	customers []ferrysteer.Customer
	callers   []*caller
	gone      map[ferryid.EntryName]bool
	loads     []map[ferryid.EntryName]float64
	rng       *rand.Rand
	wave      float64
	shards    map[int][]ferrypeer.MemberInfo
}

func newSimulation(entries, domains, customers, large int) *simulation {
	w := &simulation{
		members: membersOf(entries, domains), customers: customersOf(customers, large), gone: map[ferryid.EntryName]bool{},
		shards: map[int][]ferrypeer.MemberInfo{}, rng: rand.New(rand.NewPCG(20261204, 1)), wave: 1,
	}
	for i, c := range w.customers {
		n := max(minCallersPerCustomer, int(c.Share/c.Shares*float64(entries)*300))
		for range n {
			w.callers = append(w.callers, &caller{customer: i, rate: c.Share / c.Shares / float64(n), until: w.rng.IntN(answerLifetime)})
		}
	}
	return w
}

// step simulates one second and returns the ratio of the highest to the mean load of the ready entries.
func (w *simulation) step(t int) float64 {
	w.report()
	load := map[ferryid.EntryName]float64{}
	for i, c := range w.callers {
		if c.answer.Targets == nil || t >= c.until {
			c.serial++
			c.answer = ferrysteer.Order(w.shard(c.customer), fmt.Sprintf("%d/%d", i, c.serial))
			c.until = max(c.until, t) + answerLifetime
		}
		for _, target := range c.answer.Targets {
			if !w.gone[target.Name] {
				load[target.Name] += c.rate * w.waveOf(c)
				break
			}
		}
	}
	w.loads = append(w.loads, load)
	return w.peakRatio(load)
}

// shard returns a customer's cached shard with the current loads.
func (w *simulation) shard(customer int) []ferrypeer.MemberInfo {
	if w.shards[customer] == nil {
		w.shards[customer] = ferrysteer.Shard(w.members, w.customers[customer])
	}
	out := w.shards[customer]
	for i := range out {
		m, _ := w.members.Get(out[i].Name)
		out[i].Load = m.Load
	}
	return out
}

// waveOf returns the load factor of a caller; half of the customers take part in a load wave.
func (w *simulation) waveOf(c *caller) float64 {
	if c.customer%2 == 0 {
		return w.wave
	}
	return 1
}

// report sets the members' loads to those of reportLag seconds ago; the mean load is half of the capacity.
func (w *simulation) report() {
	if len(w.loads) < reportLag {
		return
	}
	load := w.loads[len(w.loads)-reportLag]
	for i := range w.members.List {
		m := &w.members.List[i]
		m.Load.Permille = uint16(min(math.MaxUint16, 500*load[m.Name]*float64(len(w.members.List))))
	}
}

func (w *simulation) peakRatio(load map[ferryid.EntryName]float64) float64 {
	most, sum, n := 0.0, 0.0, 0
	for _, m := range w.members.List {
		if m.Usable() && !w.gone[m.Name] {
			most = max(most, load[m.Name])
			sum += load[m.Name]
			n++
		}
	}
	return most / (sum / float64(n))
}

func (w *simulation) run(from, to int) float64 {
	worst := 0.0
	for t := from; t < to; t++ {
		worst = max(worst, w.step(t))
	}
	return worst
}

// removeEntry removes an entry without updating the membership.
func (w *simulation) removeEntry(i int) { w.gone[w.members.List[i].Name] = true }

// phases holds the highest ratio of maximum to mean load in each phase of the simulation.
type phases struct{ steady, wave, loss, drain, end float64 }

func (w *simulation) runPhases() phases {
	var p phases
	w.run(0, 180)
	p.steady = w.run(180, 240)
	w.wave = 3
	p.wave = w.run(240, 300)
	w.removeEntry(1)
	w.run(300, 306)
	w.members.List[1].Status = ferrypeer.Dead
	clear(w.shards)
	p.loss = w.run(306, 366)
	w.members.List[2].State = ferrypeer.Draining
	clear(w.shards)
	p.drain = w.run(366, 426)
	w.wave = 1
	p.end = w.run(426, 486)
	return p
}

func TestEntryLoadIsEven(t *testing.T) {
	for _, tc := range []struct {
		name                               string
		entries, domains, customers, large int
	}{
		{"9 entries", 9, 3, 10, 3},
		{"30 entries", 30, 4, 300, 10},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newSimulation(tc.entries, tc.domains, tc.customers, tc.large).runPhases()
			t.Logf("%d entries, %d customers: highest ratio of maximum to mean load: %+v", tc.entries, tc.customers, p)
			for _, x := range []float64{p.steady, p.wave, p.loss, p.drain, p.end} {
				assert.Check(t, x <= loadBound, "%.3f", x)
			}
		})
	}
}

// BenchmarkEntriesLoadAtFullSize reports the ratio of the highest to the mean load at 350 entries and 4,500 customers.
func BenchmarkEntriesLoadAtFullSize(b *testing.B) {
	for range b.N {
		p := newSimulation(350, 8, 4500, 100).runPhases()
		b.ReportMetric(p.steady, "steady")
		b.ReportMetric(p.wave, "wave")
		b.ReportMetric(p.loss, "loss")
		b.ReportMetric(p.drain, "drain")
		b.ReportMetric(p.end, "end")
	}
}

func BenchmarkOrder(b *testing.B) {
	shard := ferrysteer.Shard(membersOf(350, 8), customersOf(4500, 0)[0])
	for b.Loop() {
		ferrysteer.Order(shard, "call-1")
	}
}

func BenchmarkShard(b *testing.B) {
	ms, c := membersOf(350, 8), customersOf(4500, 0)[0]
	for b.Loop() {
		ferrysteer.Shard(ms, c)
	}
}

func TestChooseExcludesUnusable(t *testing.T) {
	ms := membersOf(6, 3)
	ms.List[0].State = ferrypeer.Draining
	ms.List[1].Status = ferrypeer.Suspect
	ms.List[2].Status = ferrypeer.Dead
	a := ferrysteer.Choose(ms, ferrysteer.Customer{Service: "s", Name: "c", Share: 1, Shares: 1}, "key")
	assert.Equal(t, len(a.Targets), 3)
	for _, target := range a.Targets {
		m, ok := ms.Get(target.Name)
		assert.Assert(t, ok && m.Usable(), "%s", target.Name)
	}
	assert.Assert(t, a.Lifetime >= 20*time.Second && a.Lifetime <= 30*time.Second)
	assert.Equal(t, len(ferrysteer.Choose(ferrypeer.Members{}, ferrysteer.Customer{}, "").Targets), 0)
}

func TestShardIsStable(t *testing.T) {
	before, after := membersOf(50, 8), membersOf(51, 8)
	moved, members := 0, 0
	for _, c := range customersOf(500, 0) {
		old := map[ferryid.EntryName]bool{}
		for _, m := range ferrysteer.Shard(before, c) {
			old[m.Name] = true
		}
		for _, m := range ferrysteer.Shard(after, c) {
			members++
			if !old[m.Name] {
				moved++
			}
		}
	}
	assert.Assert(t, moved*25 < members, "%d of %d shard members changed after one entry was added", moved, members)
}
