package ferrysettings

import (
	"net/netip"
	"time"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrytoml"
)

// Duration is a time.Duration written as "1m30s" in TOML files, flags and the environment.
type Duration time.Duration

// UnmarshalText parses a duration such as "1m30s".
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = Duration(v)
	return err
}

// UnmarshalFlag parses a duration such as "1m30s".
func (d *Duration) UnmarshalFlag(s string) error {
	return d.UnmarshalText([]byte(s))
}

// MarshalText formats the duration as text.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Settings contains all settings of a ferryd process.
type Settings struct {
	Name          ferryid.EntryName  `toml:"Name" long:"name" env:"NAME" description:"name of this entry"`
	FailureDomain ferryid.DomainName `toml:"FailureDomain" long:"failure-domain" env:"FAILURE_DOMAIN" description:"failure domain of this entry"`
	Callers       Callers            `toml:"Callers" group:"Callers' listener" namespace:"callers" env-namespace:"CALLERS"`
	Peers         Peers              `toml:"Peers" group:"Peers' and operators' listener" namespace:"peers" env-namespace:"PEERS"`
	Platform      Platform           `toml:"Platform" group:"Platform" namespace:"platform" env-namespace:"PLATFORM"`
	Keys          Keys               `toml:"Keys" group:"Keys" namespace:"keys" env-namespace:"KEYS"`
	Log           Log                `toml:"Log" group:"Log" namespace:"log" env-namespace:"LOG"`
	Stop          Stop               `toml:"Stop" group:"Stop" namespace:"stop" env-namespace:"STOP"`
}

// Decode reads settings from TOML without checking them. Errors are of type *ferrytoml.FaultsError.
func Decode(name string, data []byte) (Settings, error) {
	var s Settings
	err := ferrytoml.Read(name, data, &s)
	return s, err
}

// SetDefaults sets the defaults of settings that are not set.
func (s *Settings) SetDefaults() {
	s.Callers.setDefaults()
	s.Peers.setDefaults()
	s.Platform.setDefaults()
	s.Log.setDefaults()
	s.Stop.setDefaults()
}

// Check records all faults of the settings.
func (s *Settings) Check(c *ferrytoml.Check) {
	checkName(c, "Name", string(s.Name))
	checkName(c, "FailureDomain", string(s.FailureDomain))
	s.Callers.check(c)
	s.Peers.check(c)
	s.Platform.check(c)
	s.Keys.check(c)
	s.Log.check(c)
	s.Stop.check(c)
}

// Validate checks complete settings against the text that they were read from; errors are of
// type *ferrytoml.FaultsError.
func (s *Settings) Validate(name string, data []byte) error {
	return ferrytoml.Validate(name, data, s)
}

func checkName(c *ferrytoml.Check, field, s string) {
	if err := ferryid.CheckName(s); err != nil {
		c.Fault(field, "%s, is %q", err, s)
	}
}

func checkAddress(c *ferrytoml.Check, field, s string) {
	if _, err := netip.ParseAddrPort(s); err != nil {
		c.Fault(field, "must be an IP address and port such as 10.0.0.1:8000, is %q", s)
	}
}

func checkDuration(c *ferrytoml.Check, field string, d Duration, low, high time.Duration) {
	if time.Duration(d) < low || time.Duration(d) > high {
		c.Fault(field, "must be from %s to %s, is %s", low, high, time.Duration(d))
	}
}
