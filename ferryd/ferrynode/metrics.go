package ferrynode

import (
	"context"
	"time"
)

const metricsInterval = time.Second

// updateMetrics sets the gauges that are sampled periodically.
func (n *Node) updateMetrics(context.Context) {
	s := n.metrics.Scope
	streams, calls := n.callers.OpenCounts()
	s.Gauge("open_streams").Update(float64(streams))
	s.Gauge("open_calls").Update(float64(calls))
	s.Gauge("state").Update(float64(n.state()))
	for kind, v := range n.platformCalls() {
		s.Tagged(map[string]string{"kind": kind}).Gauge("platform_calls").Update(float64(v))
	}
	s.Gauge("platform_over_budget").Update(float64(n.platform.OverBudget()))
	s.Gauge("members_live").Update(float64(len(n.peer.Members().Live())))
	s.Gauge("peer_links").Update(float64(len(n.peer.Links())))
	s.Gauge("load_reads").Update(float64(n.loadReads.Load()))
	for name, v := range n.peer.Counts() {
		s.Tagged(map[string]string{"name": name}).Gauge("peer_counts").Update(float64(v))
	}
	for _, sv := range n.services.all() {
		n.updateServiceMetrics(sv)
	}
}

func (n *Node) updateServiceMetrics(sv *service) {
	s := n.metrics.Scope.Tagged(map[string]string{"service": string(sv.name)})
	q := sv.admission.Snapshot()
	s.Gauge("queue_waiting").Update(float64(q.Waiting))
	s.Gauge("queue_running").Update(float64(q.Running))
	s.Gauge("queue_capacity").Update(float64(q.Capacity))
	s.Gauge("queue_turned_away").Update(float64(q.RefusedEarly))
	if f, ok := n.holder.Get(sv.name); ok {
		s.Gauge("document_generation").Update(float64(f.Accepted.Generation))
	}
	n.updateSubsetMetrics(s, sv)
	for fault, v := range sv.table.RefusedReports() {
		s.Tagged(map[string]string{"fault": string(fault)}).Gauge("load_reports_refused").Update(float64(v))
	}
}
