package ferrydemo

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
)

// ModelDocument returns the document of the model service. Completions
// of at most shortTokens are of the class "short".
func (f *Fleet) ModelDocument(shortTokens int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "Service = %q\nTeam = \"herd\"\nKind = \"Model\"\n\n", ModelService)
	fmt.Fprintf(&b, "[Model]\nName = \"herd-7b\"\nVersion = \"1\"\nLayers = %d\nEnginesFencing = true\n\n", Layers)
	b.WriteString(f.policy)
	fmt.Fprintf(&b, "[[Classes]]\nName = \"short\"\nMaxTokens = %d\nDeadline = \"10s\"\nReservedShare = 0.5\n\n", shortTokens)
	fmt.Fprintf(&b, "[[Classes]]\nName = \"long\"\nDeadline = \"5m\"\nPriority = 1\n\n")
	for _, e := range f.Engines {
		fmt.Fprintf(&b, "[[Upstreams]]\nName = %q\nAddress = %q\nFailureDomain = %q\nAccelerator = %q\n", e.Name, e.AdvertisedAddress(), e.Domain, e.Accelerator)
		fmt.Fprintf(&b, "Layers = { From = %d, To = %d }\nTokensPerSecond = %d.0\nSlots = %d\n\n", e.Layers.From, e.Layers.To, e.TokensPerSecond, f.slots)
	}
	return b.String() + f.customerRows()
}

// PlainDocument returns the document of the plain service.
func (f *Fleet) PlainDocument() string {
	return fmt.Sprintf(`Service = %q
Team = "parlour"
Kind = "Plain"

[[Upstreams]]
Name = "robots-1"
Address = %q
FailureDomain = %q
Slots = 32

[[Routes]]
Method = "GET"
Path = "/teat-cups/*"
Idempotent = true

[[Routes]]
Method = "POST"
Path = "/rations/*"
Idempotent = false

`, PlainService, f.plainAdvertisedAddress(), domains[0]) + f.customerRows()
}

func (f *Fleet) plainAdvertisedAddress() string {
	if f.PlainProxy != nil {
		return f.PlainProxy.Address()
	}
	return f.PlainAddress
}

func (f *Fleet) customerRows() string {
	var b strings.Builder
	for _, c := range f.customers {
		sum := sha256.Sum256([]byte(c.Key))
		fmt.Fprintf(&b, "[[Customers]]\nName = %q\nKeySHA256 = [%q]\nShare = %.3f\n\n", c.Name, hex.EncodeToString(sum[:]), c.Share)
	}
	return b.String()
}
