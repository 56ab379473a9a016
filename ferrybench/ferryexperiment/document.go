package ferryexperiment

import (
	"fmt"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryservice"
)

// document returns the service document of the simulated fleet.
func (s *simulation) document() *ferryservice.Document {
	d := &ferryservice.Document{
		Service: "bench",
		Kind:    ferryservice.KindModel,
		Policy:  ferryservice.Policy{Queue: s.policy.Queue, Route: s.policy.Route, ExcessShare: s.policy.ExcessShare},
		Classes: s.workload.Classes,
		Limits:  ferryservice.Limits{QueueLength: s.workload.QueueLength},
	}
	for i, u := range s.units {
		d.Upstreams = append(d.Upstreams, ferryservice.Upstream{
			Name:            u.spec.Name,
			Address:         fmt.Sprintf("10.0.%d.%d:80", i/200, 1+i%200),
			FailureDomain:   ferryid.DomainName(fmt.Sprintf("domain-%d", i%3)),
			TokensPerSecond: ferryid.TokensPerSecond(u.spec.Rate),
			Slots:           u.spec.Slots,
		})
	}
	for _, c := range s.workload.Customers {
		d.Customers = append(d.Customers, ferryservice.Customer{Name: c.Name, Share: c.Share})
	}
	return d
}
