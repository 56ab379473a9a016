package ferrysettings

import (
	"encoding/hex"
	"net/url"
	"time"

	"github.com/rs/zerolog"

	"cactusferry.dev/ferry/ferrytoml"
)

// Defaults and limits of the other sections.
const (
	defaultPlatformTimeout = 2 * time.Second
	defaultCallsPerSecond  = 400
	maxCallsPerSecond      = 2000
	sealKeyBytes           = 32
	defaultLogLevel        = "info"
	defaultStopGrace       = 30 * time.Second
	maxStopGrace           = 10 * time.Minute
	maxStopLimit           = 24 * time.Hour
)

// Platform contains the settings of the object API and the instance list.
type Platform struct {
	URL            string   `toml:"URL" long:"url" env:"URL" description:"address of the object API, such as http://10.0.0.1:9000"`
	Timeout        Duration `toml:"Timeout" long:"timeout" env:"TIMEOUT" description:"timeout of one call, default 2s"`
	CallsPerSecond float64  `toml:"CallsPerSecond" long:"calls-per-second" env:"CALLS_PER_SECOND" description:"maximum calls per second to the platform by all entries together, default 400"`
}

func (s *Platform) setDefaults() {
	if s.Timeout == 0 {
		s.Timeout = Duration(defaultPlatformTimeout)
	}
	if s.CallsPerSecond == 0 {
		s.CallsPerSecond = defaultCallsPerSecond
	}
}

func (s Platform) check(c *ferrytoml.Check) {
	u, err := url.Parse(s.URL)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		c.Fault("Platform.URL", "must be an http or https URL, is %q", s.URL)
	}
	checkDuration(c, "Platform.Timeout", s.Timeout, time.Millisecond, maxTimeout)
	if !(s.CallsPerSecond > 0 && s.CallsPerSecond <= maxCallsPerSecond) {
		c.Fault("Platform.CallsPerSecond", "must be more than 0 and at most %d, is %v", maxCallsPerSecond, s.CallsPerSecond)
	}
}

// Keys contains the secrets shared by all entries. They never appear in logs, errors or the time line.
type Keys struct {
	Seal          []string `toml:"Seal" long:"seal" env:"SEAL" env-delim:"," description:"keys for resume tokens and tickets, 64 hexadecimal digits each, the current one first"`
	OperatorToken string   `toml:"OperatorToken" long:"operator-token" env:"OPERATOR_TOKEN" description:"token that operators send as Authorization: Bearer"`
}

func (s Keys) check(c *ferrytoml.Check) {
	if len(s.Seal) == 0 {
		c.Fault("Keys.Seal", "must list at least one key of 64 hexadecimal digits")
	}
	for _, k := range s.Seal {
		if b, err := hex.DecodeString(k); err != nil || len(b) != sealKeyBytes {
			c.Fault("Keys.Seal", "each key must be 64 hexadecimal digits")
		}
	}
	if s.OperatorToken == "" {
		c.Fault("Keys.OperatorToken", "must be set, since operators change configuration with it")
	}
}

// SealKeys returns the decoded keys, the current one first. The settings must have been checked.
func (s Keys) SealKeys() [][]byte {
	keys := make([][]byte, 0, len(s.Seal))
	for _, k := range s.Seal {
		b, err := hex.DecodeString(k)
		if err == nil {
			keys = append(keys, b)
		}
	}
	return keys
}

// Log contains the settings of the structured log.
type Log struct {
	Level string `toml:"Level" long:"level" env:"LEVEL" description:"debug, info, warn or error, default info; changeable while running"`
	Text  bool   `toml:"Text" long:"text" env:"TEXT" description:"write human-readable lines instead of JSON"`
}

func (s *Log) setDefaults() {
	if s.Level == "" {
		s.Level = defaultLogLevel
	}
}

func (s Log) check(c *ferrytoml.Check) {
	if _, err := zerolog.ParseLevel(s.Level); err != nil {
		c.Fault("Log.Level", "must be debug, info, warn or error, is %q", s.Level)
	}
}

// Stop contains the settings of planned stops.
type Stop struct {
	Grace Duration `toml:"Grace" long:"grace" env:"GRACE" description:"time for which callers with an older steering answer are still served, default 30s, the longest that an answer is kept"`
	Limit Duration `toml:"Limit" long:"limit" env:"LIMIT" description:"time after which open calls are aborted, default 0s: never"`
}

func (s *Stop) setDefaults() {
	if s.Grace == 0 {
		s.Grace = Duration(defaultStopGrace)
	}
}

func (s Stop) check(c *ferrytoml.Check) {
	checkDuration(c, "Stop.Grace", s.Grace, 0, maxStopGrace)
	checkDuration(c, "Stop.Limit", s.Limit, 0, maxStopLimit)
}
