package ferryedge

import (
	"bytes"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferrydiscovery"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypeer"
	"cactusferry.dev/ferry/ferryplatform"
)

// fleetOf returns a membership of n entries over the domains.
func fleetOf(n, domains int) ferrypeer.Members {
	ms := ferrypeer.Members{}
	for i := range n {
		ms.List = append(ms.List, ferrypeer.MemberInfo{
			Member: ferrypeer.Member{
				Name: ferryid.EntryName(fmt.Sprintf("entry-%03d", i)), FailureDomain: ferryid.DomainName(fmt.Sprintf("domain-%d", i%domains)),
			},
			State: ferrypeer.Ready, Status: ferrypeer.Alive,
		})
	}
	return ms
}

// TestEachEngineIsReadByOneEntryOfItsDomain has fleets of all sizes divide the engines of a failure domain, ten for
// each entry. Each engine is read by exactly one entry, also after entries are lost, all of the domain among them, and
// none reads more than a few shards.
func TestEachEngineIsReadByOneEntryOfItsDomain(t *testing.T) {
	const domains = 5
	for _, n := range []int{1, 9, 30, 95, 300} {
		for _, lost := range []int{0, n / 10, n / 2} {
			t.Run(fmt.Sprintf("%d entries, %d lost", n, lost), func(t *testing.T) {
				ms := fleetOf(n, min(domains, n))
				var engines []*ferrydiscovery.Upstream
				for i := range 10 * n / min(domains, n) {
					engines = append(engines, &ferrydiscovery.Upstream{Instance: ferryplatform.Instance{Name: fmt.Sprint("engine-", i), FailureDomain: "domain-0"}})
				}
				byDomain := map[ferryid.DomainName][]*ferrydiscovery.Upstream{"domain-0": engines}
				for i := range lost {
					ms.List[(i*7)%n].Status = ferrypeer.Dead
				}
				readers := map[string]int{}
				for _, m := range ms.List {
					if m.Status == ferrypeer.Dead {
						continue
					}
					e := &Edge{cfg: Config{Name: m.Name, Domain: m.FailureDomain}}
					own := 0
					for _, list := range e.ownShards(ms, byDomain) {
						own += len(list)
						for _, u := range list {
							readers[u.Name]++
						}
					}
					assert.Assert(t, own <= 6*enginesPerReader, "%s reads %d engines", m.Name, own)
				}
				assert.Equal(t, len(readers), len(engines))
				for name, n := range readers {
					assert.Equal(t, n, 1, "%s", name)
				}
			})
		}
	}
}

// TestLogOfManyChangesIsBounded has all engines of a fleet change in one answer.
func TestLogOfManyChangesIsBounded(t *testing.T) {
	var b bytes.Buffer
	e := &Edge{cfg: Config{Log: zerolog.New(&b), Clock: clockwork.NewFakeClock()}}
	var changes []ferrydiscovery.Change
	for i := range 3000 {
		changes = append(changes, ferrydiscovery.Change{Upstream: ferrydiscovery.Upstream{Instance: ferryplatform.Instance{Name: fmt.Sprint("e", i)}, Version: ferryplatform.Version(i + 1)}})
	}
	upstreamWatcher{e}.logChanges(changes)
	lines := strings.Split(strings.TrimSpace(b.String()), "\n")
	assert.Equal(t, len(lines), maxLoggedChanges+1)
	assert.Equal(t, lines[maxLoggedChanges], `{"level":"info","Upstreams":2968,"FirstRevision":33,"LastRevision":3000,"message":"further upstreams changed"}`)
	b.Reset()
	upstreamWatcher{e}.logChanges(changes[:maxLoggedChanges])
	assert.Equal(t, strings.Count(b.String(), "upstream changed"), maxLoggedChanges)
}

// TestEnginesThatWantNoRequestsAreNotRead has one of two engines ask for no requests until a time.
func TestEnginesThatWantNoRequestsAreNotRead(t *testing.T) {
	clock := clockwork.NewFakeClock()
	e := &Edge{cfg: Config{Clock: clock}, upstreams: ferrydiscovery.NewTable(clock)}
	for _, name := range []string{"a", "b"} {
		e.upstreams.Apply([]ferrydiscovery.Change{{Upstream: ferrydiscovery.Upstream{Instance: ferryplatform.Instance{Name: name, Service: "s"}, Version: 1}}})
	}
	list := e.upstreams.View().Of("s")
	list[0].Defer(clock.Now().Add(time.Second))
	assert.Equal(t, len(e.wanting(list)), 1)
	assert.Equal(t, e.wanting(list)[0].Name, "b")
	clock.Advance(time.Second)
	assert.Equal(t, len(e.wanting(list)), 2)
}

// TestConditionsOutOfRange guards against numbers of an engine that overflow where an entry publishes or receives them.
func TestConditionsOutOfRange(t *testing.T) {
	for _, tt := range []struct {
		value float64
		want  uint64
	}{{640, 10}, {-1, 0}, {math.NaN(), 0}, {math.Inf(1), maxRoom}, {math.Inf(-1), 0}, {1e300, maxRoom}} {
		assert.Equal(t, toUnits(tt.value, roomUnit, maxRoom), tt.want, "%v", tt.value)
	}
	for _, tt := range []struct {
		condition engineCondition
		valid     bool
	}{
		{engineCondition{Pace: maxPace, Running: maxPace, Used: maxRoom, Room: maxRoom}, true},
		{engineCondition{Used: 9, Room: 8}, true},
		{engineCondition{Pace: maxPace + 1}, false},
		{engineCondition{Running: math.MaxUint32}, false},
		{engineCondition{Used: math.MaxUint64}, false},
		{engineCondition{Room: maxRoom + 1}, false},
	} {
		assert.Equal(t, conditions{List: []engineCondition{tt.condition}}.Check() == nil, tt.valid, "%+v", tt.condition)
	}
}
