package ferryforward

import (
	"cmp"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"cactusferry.dev/ferry/ferryadmission"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryroom"
)

// refusalReason is why a request was refused before anything ran.
type refusalReason string

const (
	// enginesShort is a refusal by admission control.
	enginesShort refusalReason = "EnginesShort"
	// noForecastRoom is a refusal because the rest of the forecast's room is left to more urgent work.
	noForecastRoom refusalReason = "NoForecastRoom"
	// noRoom means that every path needs an engine without free memory by its report.
	noRoom refusalReason = "NoRoom"
	// engineRefused means that an upstream refused the request for lack of capacity and no other had room.
	engineRefused refusalReason = "EngineRefused"
	// retryBudgetExhausted means that there was a destination but no retry budget.
	retryBudgetExhausted refusalReason = "RetryBudget"
	// upstreamsDeferred means that the upstreams want no requests before a time that they stated.
	upstreamsDeferred refusalReason = "Deferred"
	// noUpstream means that no usable upstreams hold the whole model, or that there is none.
	noUpstream refusalReason = "NoUpstream"
)

var refusalReasons = []refusalReason{enginesShort, noForecastRoom, noRoom, engineRefused, retryBudgetExhausted, upstreamsDeferred, noUpstream}

// refusal is why a request is refused if it gets no run.
type refusal struct {
	reason refusalReason
	// room and share are what admission control decided on; the room is unknown for other reasons.
	room  ferryroom.Room
	share float64
}

// refuse sets the reason unless there has been one since the last run.
func (r *request) refuse(reason refusalReason) {
	if r.refusal.reason == "" {
		r.refusal.reason = reason
	}
}

// Retry-After buckets are 250 ms wide, up to twice the largest lower end of the drawn range.
const (
	retryAfterBucket  = 250 * time.Millisecond
	retryAfterBuckets = 24
)

// serviceMetrics are the metrics of a service's refusals and room. They are looked up once, since Tagged allocates.
type serviceMetrics struct {
	fill, layer, free, age, known tally.Gauge
	ranks                         []rankMetrics
}

// rankMetrics are the metrics of one rank.
type rankMetrics struct {
	admitted   tally.Counter
	refused    map[refusalReason]tally.Counter
	retryAfter tally.Histogram
}

func newServiceMetrics(scope tally.Scope, name ferryid.ServiceName, ranks int) *serviceMetrics {
	sc := scope.Tagged(map[string]string{"service": string(name)})
	m := &serviceMetrics{
		fill: sc.Gauge("engine_memory_fill"), layer: sc.Gauge("engine_memory_weakest_layer"), free: sc.Gauge("engine_memory_free_tokens"),
		age: sc.Gauge("engine_memory_report_age_seconds"), known: sc.Gauge("engine_memory_known"),
	}
	for rank := range ranks {
		ranked := sc.Tagged(map[string]string{"rank": strconv.Itoa(rank)})
		rm := rankMetrics{
			admitted: ranked.Counter("requests_admitted"), refused: map[refusalReason]tally.Counter{},
			retryAfter: ranked.Histogram("retry_after_seconds", tally.MustMakeLinearDurationBuckets(retryAfterBucket, retryAfterBucket, retryAfterBuckets)),
		}
		for _, reason := range refusalReasons {
			rm.refused[reason] = ranked.Tagged(map[string]string{"reason": string(reason)}).Counter("requests_refused")
		}
		m.ranks = append(m.ranks, rm)
	}
	return m
}

// ofRequest returns the metrics of the service and the rank of a request.
func (m metrics) ofRequest(r *request) (*serviceMetrics, *rankMetrics) {
	ranks := max(1, r.ranks, int(r.rank)+1)
	sm := r.service.metrics.Load()
	if sm == nil || len(sm.ranks) < ranks {
		sm = newServiceMetrics(m.scope, r.service.name, ranks)
		r.service.metrics.Store(sm)
	}
	return sm, &sm.ranks[max(0, r.rank)]
}

// admitted counts a request that admission control lets run.
func (m metrics) admitted(r *request) {
	_, rm := m.ofRequest(r)
	rm.admitted.Inc(1)
}

// refused counts a refused request and its Retry-After.
func (m metrics) refused(r *request, after time.Duration) {
	_, rm := m.ofRequest(r)
	rm.refused[r.refusal.reason].Inc(1)
	if after > 0 {
		rm.retryAfter.RecordDuration(after)
	}
}

// room records the room that a decision was based on. While it is unknown, the other gauges keep their last values.
func (m metrics) room(r *request, room ferryroom.Room) {
	sm, _ := m.ofRequest(r)
	if !room.Known {
		sm.known.Update(0)
		return
	}
	sm.known.Update(1)
	sm.fill.Update(room.Fill)
	sm.layer.Update(float64(room.Layer))
	sm.free.Update(float64(room.Free))
	sm.age.Update(room.Age.Seconds())
}

const (
	// customerSeries is the number of customers of a rank that have series of their own at a time.
	customerSeries = 20
	// maxCustomerSeries is the number of customers of a rank that get series of their own while the process runs, since
	// series are not removed.
	maxCustomerSeries = 80
)

// customerMetrics are the customers with series of their own.
type customerMetrics struct {
	mu    sync.Mutex
	known map[customerRank]map[ferryid.CustomerName]customerGauges
}

// customerRank is a rank of a service.
type customerRank struct {
	service ferryid.ServiceName
	rank    ferryadmission.Rank
}

// customerGauges are a customer's part of the recent requests and its admitted share.
type customerGauges struct{ part, share tally.Gauge }

// RecordCustomers updates the metrics of ranks and customers of the services with admission control. It takes about as
// long as copying the state of all customers, so it is called from time to time and not for each request.
func (f *Forwarder) RecordCustomers() {
	for name, sv := range *f.cfg.Services.current.Load() {
		core := sv.admission.Load()
		if core == nil {
			continue
		}
		for _, r := range core.Snapshot().Ranks {
			f.customers.record(f.cfg.Scope, customerRank{name, r.Rank}, r)
		}
	}
}

// record updates the gauges of one rank: a series for each of the customers with the most requests, and one for the
// others together.
func (c *customerMetrics) record(scope tally.Scope, key customerRank, r ferryadmission.RankSnapshot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sc := scope.Tagged(map[string]string{"service": string(key.service), "rank": strconv.Itoa(int(key.rank))})
	sc.Gauge("rank_admitted_share").Update(r.Share)
	if c.known == nil {
		c.known = map[customerRank]map[ferryid.CustomerName]customerGauges{}
	}
	if c.known[key] == nil {
		c.known[key] = map[ferryid.CustomerName]customerGauges{}
	}
	known := c.known[key]
	for _, g := range known {
		g.part.Update(0)
		g.share.Update(r.Share)
	}
	slices.SortStableFunc(r.Customers, func(a, b ferryadmission.CustomerSnapshot) int { return cmp.Compare(b.Part, a.Part) })
	own, part, admitted := 0, 0.0, 0.0
	for _, cu := range r.Customers {
		if own < customerSeries {
			if g, ok := gaugesOf(sc, known, cu.Customer); ok {
				own++
				g.part.Update(cu.Part)
				g.share.Update(cu.Share)
				continue
			}
		}
		part += cu.Part
		admitted += cu.Part * cu.Share
	}
	sc.Gauge("other_customers_part").Update(part)
	share := r.Share
	if part > 0 {
		share = admitted / part
	}
	sc.Gauge("other_customers_admitted_share").Update(share)
}

// gaugesOf returns the gauges of a customer, or false if too many customers have some.
func gaugesOf(sc tally.Scope, known map[ferryid.CustomerName]customerGauges, name ferryid.CustomerName) (customerGauges, bool) {
	g, ok := known[name]
	if !ok && len(known) < maxCustomerSeries {
		tagged := sc.Tagged(map[string]string{"customer": string(name)})
		g, ok = customerGauges{tagged.Gauge("customer_part"), tagged.Gauge("customer_admitted_share")}, true
		known[name] = g
	}
	return g, ok
}

// addRefusalFields adds what a refusal was based on to a log event. Other refusals than those by admission control have
// no Share; the room is then the one at the time of the line.
func (r *request) addRefusalFields(ev *zerolog.Event) {
	ev.Str("Reason", string(r.refusal.reason))
	if r.service == nil || r.service.chooser == nil || r.ranks <= 1 {
		return
	}
	ev.Int("Ranks", r.ranks)
	room := r.refusal.room
	if r.refusal.reason == enginesShort {
		ev.Float64("Share", r.refusal.share)
	} else {
		room = r.service.chooser.Room()
	}
	if room.Known {
		ev.Float64("Fill", room.Fill).Int("Layer", int(room.Layer)).Int64("Free", int64(room.Free)).Int64("RoomAge", room.Age.Milliseconds())
	}
}
