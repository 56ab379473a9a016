package ferryedge

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryconfig"
	"cactusferry.dev/ferry/ferryguard"
	"cactusferry.dev/ferry/ferryplatform"
	"cactusferry.dev/ferry/ferryplatform/ferryplatformtest"
	"cactusferry.dev/ferry/ferryrelay"
)

// TestInvalidConfigurationIsNeitherTakenNorBlocksLaterOnes writes configurations that cannot be decoded, refer to a missing
// service, make the decoder panic or are older, between valid ones.
func TestInvalidConfigurationIsNeitherTakenNorBlocksLaterOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		clock := clockwork.NewRealClock()
		platform := ferryplatformtest.New(clock)
		e := &Edge{holder: &ferryconfig.Holder{}, guard: ferryguard.New(ferryguard.Config{Clock: clock}), started: make(chan struct{})}
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
			{"missing service", `{"Version": 4, "Routes": [{"Name": "r", "Host": "h", "Prefix": "/", "Targets": [{"Service": "s", "Weight": 1}]}]}`, 3, true},
			{"decoder panics", "panic", 3, true},
			{"empty", "", 3, true},
			{"no version", "{}", 3, true},
			{"older", `{"Version": 2}`, 3, false},
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
