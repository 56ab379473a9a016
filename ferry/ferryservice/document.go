package ferryservice

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrytoml"
)

// Kind is the kind of back end of a service.
type Kind string

// Kinds of services.
const (
	// KindModel is a model served by pipelines of engines.
	KindModel Kind = "Model"
	// KindPlain is an ordinary HTTP service.
	KindPlain Kind = "Plain"
)

// Document describes one service.
type Document struct {
	Service ferryid.ServiceName `toml:"Service" json:"Service"`
	Team    string              `toml:"Team" json:"Team"`
	Kind    Kind                `toml:"Kind" json:"Kind"`
	// Retired ends the service: new work is refused, running work is finished.
	Retired   bool      `toml:"Retired" json:"Retired,omitempty"`
	Model     Model     `toml:"Model" json:"Model"`
	Limits    Limits    `toml:"Limits" json:"Limits"`
	Policy    Policy    `toml:"Policy" json:"Policy"`
	Classes   Classes   `toml:"Classes" json:"Classes"`
	Upstreams Upstreams `toml:"Upstreams" json:"Upstreams"`
	Pipelines Pipelines `toml:"Pipelines" json:"Pipelines"`
	Customers Customers `toml:"Customers" json:"Customers"`
	Routes    Routes    `toml:"Routes" json:"Routes"`
}

// Model describes the model of a service of KindModel and the desired state of its engines.
type Model struct {
	Name           string        `toml:"Name" json:"Name"`
	Version        string        `toml:"Version" json:"Version"`
	Adapter        string        `toml:"Adapter" json:"Adapter"`
	Layers         ferryid.Layer `toml:"Layers" json:"Layers"`
	EnginesFencing bool          `toml:"EnginesFencing" json:"EnginesFencing"`
	// LoadLayersPerSecond limits the layers per second that all engines together are ordered to load; 0 means
	// no limit.
	LoadLayersPerSecond float64 `toml:"LoadLayersPerSecond" json:"LoadLayersPerSecond,omitempty"`
}

// Decode decodes and validates a service document and sets its defaults; an error is a
// *ferrytoml.FaultsError.
func Decode(name string, data []byte) (Document, error) {
	var d Document
	if err := ferrytoml.Decode(name, data, &d); err != nil {
		return Document{}, err
	}
	d.setDefaults()
	return d, nil
}

func (d *Document) setDefaults() {
	d.Limits.setDefaults()
	d.Policy.setDefaults()
	if len(d.Classes) == 0 && d.Kind == KindModel {
		d.Classes = defaultClasses()
	}
	for i := range d.Customers {
		d.Customers[i].setDefaults()
	}
}

// Check records the faults of the document in c.
func (d *Document) Check(c *ferrytoml.Check) {
	checkName(c, "Service", string(d.Service))
	if d.Team == "" {
		c.Fault("Team", "must name the team that owns the service")
	}
	switch d.Kind {
	case KindModel:
		d.Model.check(c)
	case KindPlain:
		if len(d.Pipelines) > 0 {
			c.Fault("Pipelines", "a service of kind Plain has no pipelines")
		}
	default:
		c.Fault("Kind", "must be %q or %q, is %q", KindModel, KindPlain, d.Kind)
	}
	d.Limits.check(c)
	d.Policy.check(c)
	d.Classes.check(c)
	d.Upstreams.check(c, d)
	d.Pipelines.check(c, d)
	d.Customers.check(c)
	d.Routes.check(c)
}

func (m Model) check(c *ferrytoml.Check) {
	if m.Name == "" {
		c.Fault("Model.Name", "must name the model")
	}
	if m.Layers == 0 {
		c.Fault("Model.Layers", "must be at least 1")
	}
	if !(m.LoadLayersPerSecond >= 0 && m.LoadLayersPerSecond <= maxRate) {
		c.Fault("Model.LoadLayersPerSecond", "must be from 0 to %g, is %v", float64(maxRate), m.LoadLayersPerSecond)
	}
}

func checkName(c *ferrytoml.Check, field, s string) {
	if err := ferryid.CheckName(s); err != nil {
		c.Fault(field, "%s, is %q", err, s)
	}
}

// Customer returns the customer with the given key, by a linear search that compares digests in
// constant time.
func (d *Document) Customer(key string) (Customer, bool) {
	sum := sha256.Sum256([]byte(key))
	digest := []byte(hex.EncodeToString(sum[:]))
	for _, cu := range d.Customers {
		for _, k := range cu.KeySHA256 {
			if subtle.ConstantTimeCompare([]byte(k), digest) == 1 {
				return cu, true
			}
		}
	}
	return Customer{}, false
}
