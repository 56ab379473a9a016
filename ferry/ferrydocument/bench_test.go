package ferrydocument_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"cactusferry.dev/ferry/ferrydocument"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryplatform/ferryplatformtest"
	"cactusferry.dev/ferry/ferryservice"
)

// sizedDocument returns a document with the given numbers of upstreams and customers.
func sizedDocument(upstreams, customers int) string {
	var b strings.Builder
	b.WriteString("Service = \"parlour-api\"\nTeam = \"t\"\nKind = \"Plain\"\n")
	for i := range upstreams {
		fmt.Fprintf(&b, "[[Upstreams]]\nName = \"runner-%d\"\nAddress = \"10.%d.%d.%d:80\"\nFailureDomain = \"ruse-a\"\n", i, i>>16, i>>8&255, i&255)
	}
	for i := range customers {
		fmt.Fprintf(&b, "[[Customers]]\nName = \"c-%d\"\nKeySHA256 = [\"%064x\"]\n", i, i)
	}
	return b.String()
}

func BenchmarkHolderGet(b *testing.B) {
	for _, n := range []int{1, 100} {
		b.Run(fmt.Sprintf("services=%d", n), func(b *testing.B) {
			h, _ := newHolder()
			for i := range n {
				name := fmt.Sprintf("s-%d", i)
				h.Offer(ferryservice.Accepted{Service: ferryid.ServiceName(name), Generation: 1, Source: strings.Replace(text("t"), "parlour-api", name, 1)}, "store")
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := h.Get("s-0"); !ok {
					b.Fatal("document not in force")
				}
			}
		})
	}
}

func BenchmarkCustomer(b *testing.B) {
	for _, n := range []int{10, 4500} {
		a := ferryservice.Accepted{Service: "parlour-api", Generation: 1, Source: sizedDocument(0, n)}
		h, _ := newHolder()
		h.Offer(a, "store")
		f, _ := h.Get("parlour-api")
		b.Run(fmt.Sprintf("index/customers=%d", n), func(b *testing.B) {
			for b.Loop() {
				f.Customer("barn")
			}
		})
		b.Run(fmt.Sprintf("scan/customers=%d", n), func(b *testing.B) {
			for b.Loop() {
				f.Document.Customer("barn")
			}
		})
	}
}

func BenchmarkHolderOffer(b *testing.B) {
	for _, size := range []struct{ upstreams, customers int }{{3, 10}, {40, 10}, {1600, 4500}} {
		name := fmt.Sprintf("upstreams=%d,customers=%d", size.upstreams, size.customers)
		source := sizedDocument(size.upstreams, size.customers)
		b.Run("new/"+name, func(b *testing.B) {
			h, _ := newHolder()
			a := ferryservice.Accepted{Service: "parlour-api"}
			b.SetBytes(int64(len(source)))
			for b.Loop() {
				a = a.Successor()
				a.Service, a.Source = "parlour-api", source
				if v := h.Offer(a, "store"); v != ferrydocument.Taken {
					b.Fatal(v)
				}
			}
		})
		b.Run("same/"+name, func(b *testing.B) {
			h, _ := newHolder()
			a := ferryservice.Accepted{Service: "parlour-api", Generation: 1, Source: source}
			h.Offer(a, "store")
			b.SetBytes(int64(len(source)))
			for b.Loop() {
				h.Offer(a, "peer")
			}
		})
	}
}

// BenchmarkInForceOverWatch measures the time from the start of an apply until a watching entry has it in
// force.
func BenchmarkInForceOverWatch(b *testing.B) {
	clock := clockwork.NewRealClock()
	store := ferryplatformtest.New(clock)
	h := ferrydocument.NewHolder(clock, nil)
	w := ferrydocument.NewWatcher(ferrydocument.WatcherConfig{Store: store, Holder: h, Clock: clock})
	w.SetWatching(true)
	ctx, cancel := context.WithCancel(b.Context())
	done := make(chan error, 1)
	go func() { done <- w.Run(ctx) }()
	updates := h.Subscribe()
	var took []time.Duration
	for i := 0; b.Loop(); i++ {
		req := request(fmt.Sprint(i), ferryid.Generation(i))
		started := time.Now()
		if _, err := ferrydocument.Apply(ctx, store, clock, req); err != nil {
			b.Fatal(err)
		}
		<-updates.Ready()
		updates.Take()
		took = append(took, time.Since(started))
	}
	cancel()
	<-done
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-us")
}
