package ferrystandplatform_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"cactusferry.dev/ferry/ferrydocument"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryplatform"
	"cactusferry.dev/ferry/ferryplatform/ferryplatformtest"
	"cactusferry.dev/ferrystand/ferrystandplatform"
)

const benchEntries = 9

// BenchmarkInForceEverywhere measures the time from the start of an apply
// until the document is in force at nine entries that watch over HTTP.
func BenchmarkInForceEverywhere(b *testing.B) {
	for _, delay := range []int{0, 100, 1000} {
		b.Run(fmt.Sprintf("platform-delay=%dms", delay), func(b *testing.B) {
			clock := clockwork.NewRealClock()
			platform := ferrystandplatform.New(clock)
			srv := httptest.NewServer(platform)
			defer srv.Close()
			ctx, cancel := context.WithCancel(b.Context())
			defer cancel()
			budget := ferryplatform.Budget{PerSecond: 1e6, Burst: 1e6}
			var subscriptions []*ferrydocument.Subscription
			for i := range benchEntries {
				h := ferrydocument.NewHolder(clock, nil)
				client := ferryplatform.New(ferryplatform.ClientConfig{URL: srv.URL, Budget: budget})
				w := ferrydocument.NewWatcher(ferrydocument.WatcherConfig{Store: client, Holder: h, Clock: clock, Seed: uint64(i)})
				w.SetWatching(true)
				go func() { _ = w.Run(ctx) }()
				subscriptions = append(subscriptions, h.Subscribe())
			}
			platform.SetFaults(ferryplatformtest.Faults{DelayMS: delay})
			operator := ferryplatform.New(ferryplatform.ClientConfig{URL: srv.URL, Budget: budget})
			var took []time.Duration
			for i := 0; b.Loop(); i++ {
				took = append(took, inForce(ctx, b, operator, clock, subscriptions, i))
			}
			slices.Sort(took)
			b.ReportMetric(float64(took[len(took)/2].Microseconds())/1000, "p50-ms")
			b.ReportMetric(float64(took[len(took)-1].Microseconds())/1000, "max-ms")
		})
	}
}

// inForce applies the next generation, waits until every entry has received it, and returns the time taken.
func inForce(ctx context.Context, b *testing.B, store ferryplatform.Store, clock clockwork.Clock, subscriptions []*ferrydocument.Subscription, i int) time.Duration {
	from := time.Now()
	a, err := ferrydocument.Apply(ctx, store, clock, ferrydocument.ApplyRequest{
		Service: "parlour-api", Source: fmt.Sprintf("Service = \"parlour-api\"\nTeam = \"%d\"\nKind = \"Plain\"\n", i),
		BaseGeneration: ferryid.Generation(i), Operator: "bench", ApplyID: ferrydocument.NewApplyID(),
	})
	if err != nil {
		b.Fatal(err)
	}
	for _, s := range subscriptions {
		for seen := ferryid.Generation(0); seen < a.Generation; {
			<-s.Ready()
			for _, f := range s.Take() {
				seen = f.Accepted.Generation
			}
		}
	}
	return time.Since(from)
}
