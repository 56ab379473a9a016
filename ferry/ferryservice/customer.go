package ferryservice

import (
	"encoding/hex"
	"fmt"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrytoml"
)

const (
	defaultShare  = 1
	maxShare      = 10000
	sha256HexSize = 64
)

// Customer is one customer of a service, known by the SHA-256 digests of its keys.
type Customer struct {
	Name              ferryid.CustomerName `toml:"Name" json:"Name"`
	KeySHA256         []string             `toml:"KeySHA256" json:"KeySHA256"`
	Share             float64              `toml:"Share" json:"Share"`
	RequestsPerSecond float64              `toml:"RequestsPerSecond" json:"RequestsPerSecond"`
}

// Customers are the customers of a service.
type Customers []Customer

func (cu *Customer) setDefaults() {
	if cu.Share == 0 {
		cu.Share = defaultShare
	}
}

func (cs Customers) check(c *ferrytoml.Check) {
	names := map[ferryid.CustomerName]bool{}
	keys := map[string]bool{}
	for i, cu := range cs {
		f := fmt.Sprintf("Customers[%d]", i)
		checkName(c, f+".Name", string(cu.Name))
		if names[cu.Name] {
			c.Fault(f+".Name", "%q stands twice", cu.Name)
		}
		names[cu.Name] = true
		if len(cu.KeySHA256) == 0 {
			c.Fault(f+".KeySHA256", "must list at least one key's SHA-256 digest")
		}
		for _, k := range cu.KeySHA256 {
			if _, err := hex.DecodeString(k); err != nil || len(k) != sha256HexSize {
				c.Fault(f+".KeySHA256", "must be %d lower-case hexadecimal digits", sha256HexSize)
				continue
			}
			if keys[k] {
				c.Fault(f+".KeySHA256", "a key belongs to two customers or stands twice")
			}
			keys[k] = true
		}
		if !(cu.Share >= 0 && cu.Share <= maxShare) {
			c.Fault(f+".Share", "must be from 0 to %d, is %v", maxShare, cu.Share)
		}
		if !(cu.RequestsPerSecond >= 0 && cu.RequestsPerSecond <= 1e6) {
			c.Fault(f+".RequestsPerSecond", "must be from 0 (no limit) to 1e6, is %v", cu.RequestsPerSecond)
		}
	}
}
