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

// Metrics is a process's root scope and the page that shows it.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler
	closer  io.Closer
}

// New returns metrics whose names begin with a prefix, and which show what was counted an interval ago at the latest.
func New(prefix string, interval time.Duration) *Metrics {
	// A registry of its own lets one process hold several nodes.
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

// sanitizer is tally's for Prometheus, but leaves the dashes and dots of names in tags' values.
func sanitizer() *tally.SanitizeOptions {
	opts := prometheus.DefaultSanitizerOpts
	opts.ValueCharacters.Characters = []rune{'_', '-', '.'}
	return &opts
}
