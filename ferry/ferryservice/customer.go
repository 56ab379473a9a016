package ferryservice

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrytoml"
)

const (
	defaultShare  = 1
	maxShare      = 10000
	sha256HexSize = 64
	maxCustomers  = 10000
	maxKeys       = 16
)

// Customer is a customer of a service, identified by the SHA-256 digests of its API keys.
type Customer struct {
	Name      ferryid.CustomerName `toml:"Name" json:"Name"`
	KeySHA256 []string             `toml:"KeySHA256" json:"KeySHA256"`
	// Share is the weight of the customer in fair queueing.
	Share float64 `toml:"Share" json:"Share"`
	// RequestsPerSecond is the customer's rate limit; 0 means no limit.
	RequestsPerSecond float64 `toml:"RequestsPerSecond" json:"RequestsPerSecond"`
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
	if len(cs) > maxCustomers {
		c.Fault("Customers", "must be at most %d, are %d", maxCustomers, len(cs))
		return
	}
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
		if len(cu.KeySHA256) > maxKeys {
			c.Fault(f+".KeySHA256", "must list at most %d keys, lists %d", maxKeys, len(cu.KeySHA256))
		}
		for _, k := range cu.KeySHA256 {
			if !isDigest(k) {
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

// isDigest reports whether k is a SHA-256 digest in lower-case hexadecimal, the form that caller keys are
// hashed to.
func isDigest(k string) bool {
	b, err := hex.DecodeString(k)
	return err == nil && len(b) == sha256.Size && hex.EncodeToString(b) == k
}

// CustomerIndex maps the digests of keys to customers.
type CustomerIndex map[[sha256.Size]byte]Customer

// Index returns an index of the customers.
func (cs Customers) Index() CustomerIndex {
	out := make(CustomerIndex, len(cs))
	for _, cu := range cs {
		for _, k := range cu.KeySHA256 {
			if len(k) != sha256HexSize {
				continue
			}
			var digest [sha256.Size]byte
			if n, err := hex.Decode(digest[:], []byte(k)); err == nil && n == sha256.Size {
				out[digest] = cu
			}
		}
	}
	return out
}

// Customer returns the customer with the given key.
func (x CustomerIndex) Customer(key string) (Customer, bool) {
	cu, ok := x[sha256.Sum256([]byte(key))]
	return cu, ok
}
