package ferryorder

import (
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryservice"
)

// Runner is one engine of the document and the state it is wanted in.
type Runner struct {
	Name    ferryid.UpstreamName
	Address string
	Target  Target
}

// Wanted is what a service's document asks of its engines.
type Wanted struct {
	Service    ferryid.ServiceName
	Generation ferryid.Generation
	Layers     ferryid.Layer
	Runners    []Runner
	// Pace bounds how fast the engines load; without one that of the Config holds.
	Pace Pace
}

// WantedOf reads the wanted state out of an accepted document.
func WantedOf(g ferryid.Generation, d ferryservice.Document) Wanted {
	w := Wanted{Service: d.Service, Generation: g, Layers: d.Model.Layers, Pace: Pace{LayersPerSecond: d.Model.LoadLayersPerSecond}}
	if d.Kind != ferryservice.KindModel {
		return w
	}
	for _, u := range d.Upstreams {
		t := Target{Model: d.Model.Name, Version: d.Model.Version, Adapter: d.Model.Adapter, Layers: u.Layers, State: StateLive}
		if u.Leaving {
			t.State = StateLeaving
		}
		w.Runners = append(w.Runners, Runner{Name: u.Name, Address: u.Address, Target: t})
		w.Pace.Burst = max(w.Pace.Burst, float64(u.Layers.Len()))
	}
	return w
}
