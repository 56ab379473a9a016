package ferryservice

import "cactusferry.dev/ferry/ferrytoml"

// QueuePolicy is the order in which waiting work is served.
type QueuePolicy string

// RoutePolicy is the way in which an upstream or pipeline is chosen.
type RoutePolicy string

// Policies; Fifo and Random are baselines for measurements.
const (
	QueueFair   QueuePolicy = "Fair"
	QueueFifo   QueuePolicy = "Fifo"
	RouteLeast  RoutePolicy = "LeastWork"
	RouteRandom RoutePolicy = "Random"
)

// Policy selects the policies of a service.
type Policy struct {
	Queue QueuePolicy `toml:"Queue" json:"Queue"`
	Route RoutePolicy `toml:"Route" json:"Route"`
	// ExcessShare is the fraction of the slots that work beyond customers' shares may occupy, above 0 and up
	// to 1.
	ExcessShare float64 `toml:"ExcessShare" json:"ExcessShare"`
}

func (p *Policy) setDefaults() {
	if p.Queue == "" {
		p.Queue = QueueFair
	}
	if p.Route == "" {
		p.Route = RouteLeast
	}
	if p.ExcessShare == 0 {
		p.ExcessShare = 1
	}
}

func (p Policy) check(c *ferrytoml.Check) {
	switch p.Queue {
	case "", QueueFair, QueueFifo:
	default:
		c.Fault("Policy.Queue", "must be %q or %q, is %q", QueueFair, QueueFifo, p.Queue)
	}
	switch p.Route {
	case "", RouteLeast, RouteRandom:
	default:
		c.Fault("Policy.Route", "must be %q or %q, is %q", RouteLeast, RouteRandom, p.Route)
	}
	if !(p.ExcessShare >= 0 && p.ExcessShare <= 1) {
		c.Fault("Policy.ExcessShare", "must be more than 0 and at most 1, is %v", p.ExcessShare)
	}
}
