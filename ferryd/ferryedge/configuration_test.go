package ferryedge

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryconfig"
	"cactusferry.dev/ferry/ferryguard"
	"cactusferry.dev/ferry/ferrypeer"
	"cactusferry.dev/ferry/ferryplatform"
	"cactusferry.dev/ferry/ferryplatform/ferryplatformtest"
	"cactusferry.dev/ferry/ferryrelay"
	"cactusferry.dev/ferryd/ferrymetrics"
)

// TestInvalidConfigurationIsNeitherTakenNorBlocksLaterOnes writes configurations that cannot be decoded, refer to a missing
// service, make the decoder panic or are older, between valid ones. A fault of one route must not keep the others from
// coming into force, nor the configuration from being proved current.
func TestInvalidConfigurationIsNeitherTakenNorBlocksLaterOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		clock := clockwork.NewRealClock()
		platform := ferryplatformtest.New(clock)
		e := &Edge{states: ferrypeer.NewLatest[entryState](ferrypeer.LatestConfig{Clock: clock, Size: 1}), metrics: &ferrymetrics.Metrics{Scope: tally.NoopScope}, holder: &ferryconfig.Holder{}, guard: ferryguard.New(ferryguard.Config{Clock: clock}), started: make(chan struct{})}
		e.cfg.Clock, e.cfg.Steady, e.cfg.Log = clock, clock, zerolog.Nop()
		e.cfg.Objectives.ConfigWithin = 2 * time.Second
		e.cfg.Objects = Objects{ConfigurationKind: "config", ConfigurationName: "main", Configuration: func(b []byte) (*ferryconfig.Snapshot, error) {
			if string(b) == "panic" {
				panic("no such form")
			}
			c := &ferryconfig.Configuration{}
			if err := json.Unmarshal(b, c); err != nil {
				return nil, err
			}
			return ferryconfig.NewSnapshot(c)
		}}
		e.relay = ferryrelay.New(ferryrelay.Config{
			Platform: platform, Clock: clock, Log: zerolog.Nop(), Within: e.knownWithin,
			Reader: func() (ferryrelay.Reader, bool) { return ferryrelay.Reader{}, false },
		})
		go e.followConfig(ctx)
		go e.proveConfig(ctx)
		at := ferryplatform.NoVersion
		for _, tt := range []struct {
			name, value string
			inForce     ferryconfig.Version
			stale       bool
		}{
			{"valid", `{"Version": 1}`, 1, false},
			{"undecodable", `{"Version": 2`, 1, true},
			{"valid after an invalid one", `{"Version": 3}`, 3, false},
			{"missing service", `{"Version": 4, "Routes": [{"Name": "r", "Host": "h", "Prefix": "/", "Targets": [{"Service": "s", "Weight": 1}]}]}`, 4, false},
			{"decoder panics", "panic", 4, true},
			{"empty", "", 4, true},
			{"no version", "{}", 4, true},
			{"older", `{"Version": 2}`, 4, false},
			{"newer", `{"Version": 9}`, 9, false},
		} {
			var err error
			at, err = platform.Put(ctx, "config", "main", at, []byte(tt.value))
			assert.NilError(t, err)
			time.Sleep(e.cfg.Objectives.ConfigWithin)
			assert.Equal(t, e.holder.Current().Version, tt.inForce, tt.name)
			assert.Equal(t, e.configStale.Load(), tt.stale, tt.name)
		}
	})
}
