package ferrysettings

import (
	"time"

	"cactusferry.dev/ferry/ferrytoml"
)

// The defaults and bounds of the listeners.
const (
	defaultHeaderBytes   = 16 << 10
	maxHeaderBytes       = 256 << 10
	defaultHeaderTimeout = 5 * time.Second
	defaultBodyTimeout   = 10 * time.Second
	defaultWriteTimeout  = 20 * time.Second
	maxTimeout           = 10 * time.Minute
)

// TLS names the files of a key pair and, where the other side must show one too, of the authority that signs it.
type TLS struct {
	Certificate string `toml:"Certificate" long:"certificate" env:"CERTIFICATE" description:"PEM file of the certificate chain"`
	Key         string `toml:"Key" long:"key" env:"KEY" description:"PEM file of the private key"`
	ClientCA    string `toml:"ClientCA" long:"client-ca" env:"CLIENT_CA" description:"PEM file of the authorities that sign the other side's certificates"`
}

// Enabled reports whether a key pair is set.
func (t TLS) Enabled() bool {
	return t.Certificate != "" || t.Key != ""
}

func (t TLS) check(c *ferrytoml.Check, field string) {
	if (t.Certificate == "") != (t.Key == "") {
		c.Fault(field, "Certificate and Key must be set together")
	}
	if t.ClientCA != "" && !t.Enabled() {
		c.Fault(field+".ClientCA", "needs Certificate and Key")
	}
}

// Callers are the settings of the listener that callers connect to.
type Callers struct {
	Listen        string   `toml:"Listen" long:"listen" env:"LISTEN" description:"IP address and port to listen on"`
	Advertise     string   `toml:"Advertise" long:"advertise" env:"ADVERTISE" description:"IP address and port that callers are told, default Listen"`
	HeaderBytes   int      `toml:"HeaderBytes" long:"header-bytes" env:"HEADER_BYTES" description:"bytes of header at most, default 16384"`
	HeaderTimeout Duration `toml:"HeaderTimeout" long:"header-timeout" env:"HEADER_TIMEOUT" description:"time for a whole header, default 5s"`
	BodyTimeout   Duration `toml:"BodyTimeout" long:"body-timeout" env:"BODY_TIMEOUT" description:"time for a whole body, default 10s"`
	WriteTimeout  Duration `toml:"WriteTimeout" long:"write-timeout" env:"WRITE_TIMEOUT" description:"time for a caller to take one piece of an answer, default 20s"`
	TLS           TLS      `toml:"TLS" group:"Callers' TLS" namespace:"tls" env-namespace:"TLS"`
}

func (s *Callers) setDefaults() {
	if s.Advertise == "" {
		s.Advertise = s.Listen
	}
	if s.HeaderBytes == 0 {
		s.HeaderBytes = defaultHeaderBytes
	}
	if s.HeaderTimeout == 0 {
		s.HeaderTimeout = Duration(defaultHeaderTimeout)
	}
	if s.BodyTimeout == 0 {
		s.BodyTimeout = Duration(defaultBodyTimeout)
	}
	if s.WriteTimeout == 0 {
		s.WriteTimeout = Duration(defaultWriteTimeout)
	}
}

func (s Callers) check(c *ferrytoml.Check) {
	checkAddress(c, "Callers.Listen", s.Listen)
	if s.Advertise != s.Listen {
		checkAddress(c, "Callers.Advertise", s.Advertise)
	}
	if s.HeaderBytes < 1024 || s.HeaderBytes > maxHeaderBytes {
		c.Fault("Callers.HeaderBytes", "must be from 1024 to %d, is %d", maxHeaderBytes, s.HeaderBytes)
	}
	checkDuration(c, "Callers.HeaderTimeout", s.HeaderTimeout, time.Millisecond, maxTimeout)
	checkDuration(c, "Callers.BodyTimeout", s.BodyTimeout, time.Millisecond, maxTimeout)
	checkDuration(c, "Callers.WriteTimeout", s.WriteTimeout, time.Millisecond, maxTimeout)
	s.TLS.check(c, "Callers.TLS")
}

// Peers are the settings of the listener that peers and operators connect to.
type Peers struct {
	Listen    string   `toml:"Listen" long:"listen" env:"LISTEN" description:"IP address and port to listen on"`
	Advertise string   `toml:"Advertise" long:"advertise" env:"ADVERTISE" description:"IP address and port that peers are told, default Listen"`
	Seeds     []string `toml:"Seeds" long:"seed" env:"SEEDS" env-delim:"," description:"peers' addresses to try when the instance list can't be had"`
	TLS       TLS      `toml:"TLS" group:"Peers' TLS" namespace:"tls" env-namespace:"TLS"`
}

func (s *Peers) setDefaults() {
	if s.Advertise == "" {
		s.Advertise = s.Listen
	}
}

func (s Peers) check(c *ferrytoml.Check) {
	checkAddress(c, "Peers.Listen", s.Listen)
	if s.Advertise != s.Listen {
		checkAddress(c, "Peers.Advertise", s.Advertise)
	}
	for _, a := range s.Seeds {
		checkAddress(c, "Peers.Seeds", a)
	}
	s.TLS.check(c, "Peers.TLS")
	if s.TLS.Enabled() && s.TLS.ClientCA == "" {
		c.Fault("Peers.TLS.ClientCA", "must be set, since peers authenticate each other")
	}
}
