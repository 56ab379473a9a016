package ferryservice

import (
	"fmt"
	"net/netip"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrytoml"
)

// Bounds of upstreams and pipelines.
const (
	maxUpstreams = 4000
	maxPipelines = 1000
	maxStages    = 64
	maxSlots     = 100000
	maxRate      = 1e9
)

// DefaultSlots is the number of concurrent calls assumed for an upstream without Slots in its document.
const DefaultSlots = 64

// Upstream is an engine or plain back end of a service.
type Upstream struct {
	Name            ferryid.UpstreamName    `toml:"Name" json:"Name"`
	Address         string                  `toml:"Address" json:"Address"`
	FailureDomain   ferryid.DomainName      `toml:"FailureDomain" json:"FailureDomain"`
	Accelerator     string                  `toml:"Accelerator" json:"Accelerator"`
	Layers          ferryid.LayerRange      `toml:"Layers" json:"Layers"`
	TokensPerSecond ferryid.TokensPerSecond `toml:"TokensPerSecond" json:"TokensPerSecond"`
	Slots           int                     `toml:"Slots" json:"Slots"`
	Leaving         bool                    `toml:"Leaving" json:"Leaving"`
}

// Upstreams are the back ends of a service.
type Upstreams []Upstream

func (us Upstreams) check(c *ferrytoml.Check, d *Document) {
	names := map[ferryid.UpstreamName]bool{}
	addresses := map[string]bool{}
	if len(us) > maxUpstreams {
		c.Fault("Upstreams", "must be at most %d, are %d", maxUpstreams, len(us))
		return
	}
	for i, u := range us {
		f := fmt.Sprintf("Upstreams[%d]", i)
		checkName(c, f+".Name", string(u.Name))
		if names[u.Name] {
			c.Fault(f+".Name", "%q stands twice", u.Name)
		}
		names[u.Name] = true
		if !isAddress(u.Address) {
			c.Fault(f+".Address", "must be an IP address and port such as 10.0.0.1:8000, is %q", u.Address)
		}
		if addresses[u.Address] {
			c.Fault(f+".Address", "%q stands twice", u.Address)
		}
		addresses[u.Address] = true
		checkName(c, f+".FailureDomain", string(u.FailureDomain))
		if !(u.TokensPerSecond >= 0 && u.TokensPerSecond <= maxRate) {
			c.Fault(f+".TokensPerSecond", "must be from 0 to 1e9, is %v", u.TokensPerSecond)
		}
		if u.Slots < 0 || u.Slots > maxSlots {
			c.Fault(f+".Slots", "must be from 0 to %d, is %d", maxSlots, u.Slots)
		}
		if d.Kind == KindModel && d.Model.Layers > 0 && (u.Layers.Len() == 0 || u.Layers.To > d.Model.Layers) {
			c.Fault(f+".Layers", "must be a range within [0,%d), is %s", d.Model.Layers, u.Layers)
		}
	}
}

// isAddress reports whether s is an IP address and port that a connection can be opened to.
func isAddress(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() != 0 && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast()
}

// ByName returns the upstream with the name.
func (us Upstreams) ByName(name ferryid.UpstreamName) (Upstream, bool) {
	for _, u := range us {
		if u.Name == name {
			return u, true
		}
	}
	return Upstream{}, false
}

// Pipeline is a fixed sequence of upstreams; without any in the document, the planner chooses the sequence.
type Pipeline struct {
	Name   string                 `toml:"Name" json:"Name"`
	Stages []ferryid.UpstreamName `toml:"Stages" json:"Stages"`
}

// Pipelines are the fixed pipelines of a service.
type Pipelines []Pipeline

func (ps Pipelines) check(c *ferrytoml.Check, d *Document) {
	seen := map[string]bool{}
	if len(ps) > maxPipelines {
		c.Fault("Pipelines", "must be at most %d, are %d", maxPipelines, len(ps))
		return
	}
	upstreams := make(map[ferryid.UpstreamName]Upstream, len(d.Upstreams))
	for _, u := range d.Upstreams {
		upstreams[u.Name] = u
	}
	for i, p := range ps {
		f := fmt.Sprintf("Pipelines[%d]", i)
		checkName(c, f+".Name", p.Name)
		if seen[p.Name] {
			c.Fault(f+".Name", "%q stands twice", p.Name)
		}
		seen[p.Name] = true
		if len(p.Stages) > maxStages {
			c.Fault(f+".Stages", "must be at most %d, are %d", maxStages, len(p.Stages))
			continue
		}
		if d.Model.Layers == 0 {
			continue
		}
		next := ferryid.Layer(0)
		for _, name := range p.Stages {
			u, ok := upstreams[name]
			if !ok {
				c.Fault(f+".Stages", "there is no upstream %q", name)
				continue
			}
			if u.Layers.From > next || u.Layers.To <= next {
				c.Fault(f+".Stages", "%q holds %s and can't follow layer %d", name, u.Layers, next)
			}
			next = u.Layers.To
		}
		if next != d.Model.Layers {
			c.Fault(f+".Stages", "ends at layer %d of %d", next, d.Model.Layers)
		}
	}
}
