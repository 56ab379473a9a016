package ferrysettings

import (
	"time"

	"cactusferry.dev/ferry/ferrytoml"
)

// Defaults and limits of the listeners.
const (
	defaultHeaderBytes   = 16 << 10
	maxHeaderBytes       = 256 << 10
	defaultHeaderTimeout = 5 * time.Second
	defaultBodyTimeout   = 10 * time.Second
	defaultWriteTimeout  = 20 * time.Second
	maxTimeout           = 10 * time.Minute
)

// TLS contains the files of a key pair and, if clients must present a certificate, of the
// authorities that sign it.
type TLS struct {
	Certificate string `toml:"Certificate" long:"certificate" env:"CERTIFICATE" description:"PEM file of the certificate chain"`
	Key         string `toml:"Key" long:"key" env:"KEY" description:"PEM file of the private key"`
	ClientCA    string `toml:"ClientCA" long:"client-ca" env:"CLIENT_CA" description:"PEM file of the authorities that sign the clients' and peers' certificates"`
}

// Enabled reports whether a certificate or key is set.
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

// Callers contains the settings of the callers' listener.
type Callers struct {
	Listen        string   `toml:"Listen" long:"listen" env:"LISTEN" description:"IP address and port to listen on"`
	Advertise     string   `toml:"Advertise" long:"advertise" env:"ADVERTISE" description:"IP address and port advertised to callers, default Listen"`
	HeaderBytes   int      `toml:"HeaderBytes" long:"header-bytes" env:"HEADER_BYTES" description:"maximum bytes of a request header, default 16384"`
	HeaderTimeout Duration `toml:"HeaderTimeout" long:"header-timeout" env:"HEADER_TIMEOUT" description:"maximum time to receive a header, default 5s"`
	BodyTimeout   Duration `toml:"BodyTimeout" long:"body-timeout" env:"BODY_TIMEOUT" description:"maximum time to receive a body, default 10s"`
	WriteTimeout  Duration `toml:"WriteTimeout" long:"write-timeout" env:"WRITE_TIMEOUT" description:"maximum time to write one part of an answer, default 20s"`
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

// Peers contains the settings of the listener for peers and operators.
type Peers struct {
	Listen    string   `toml:"Listen" long:"listen" env:"LISTEN" description:"IP address and port to listen on"`
	Advertise string   `toml:"Advertise" long:"advertise" env:"ADVERTISE" description:"IP address and port advertised to peers, default Listen"`
	Seeds     []string `toml:"Seeds" long:"seed" env:"SEEDS" env-delim:"," description:"peers' addresses to try if the instance list is unavailable"`
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
