package ferrymetrics

import (
	"io"
	"net/http"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// Metrics is the root metrics scope of a process with the HTTP handler that exposes it.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler
	closer  io.Closer
}

// New returns metrics with a name prefix, which are reported to the handler once per interval.
func New(prefix string, interval time.Duration) *Metrics {
	// A separate registry allows several nodes in one process.
	registry := client.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	r := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 prefix,
		CachedReporter:         r,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        sanitizer(),
		OmitCardinalityMetrics: true,
	}, interval)
	return &Metrics{Scope: scope, Handler: r.HTTPHandler(), closer: closer}
}

// Close stops reporting.
func (m *Metrics) Close() error { return m.closer.Close() }

// sanitizer is tally's sanitizer for Prometheus, except that it keeps dashes and dots in tag values.
func sanitizer() *tally.SanitizeOptions {
	opts := prometheus.DefaultSanitizerOpts
	opts.ValueCharacters.Characters = []rune{'_', '-', '.'}
	return &opts
}
