package ferryorder

import (
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryservice"
)

// WantedEngine is one engine of the document with its wanted state.
type WantedEngine struct {
	Name    ferryid.UpstreamName
	Address string
	Target  Target
}

// Wanted is the wanted state of a service's engines according to its document.
type Wanted struct {
	Service    ferryid.ServiceName
	Generation ferryid.Generation
	Layers     ferryid.Layer
	Engines    []WantedEngine
	// Pace limits the rate at which the engines load weights; if it is unset, that of the Config applies.
	Pace Pace
}

// WantedOf returns the wanted state of an accepted document.
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
		w.Engines = append(w.Engines, WantedEngine{Name: u.Name, Address: u.Address, Target: t})
		w.Pace.Burst = max(w.Pace.Burst, float64(u.Layers.Len()))
	}
	return w
}
