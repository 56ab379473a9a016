package ferryforward

import (
	"github.com/rs/zerolog"

	"cactusferry.dev/ferry/ferrydiscovery"
)

// Observer records what upstreams state about themselves in their answers; nil records nothing.
type Observer struct {
	Upstreams *ferrydiscovery.Table
	Log       zerolog.Logger
}

// Observe records an answer of an upstream.
func (o *Observer) Observe(u *ferrydiscovery.Upstream, v AnswerInfo) {
	if o == nil || v.Elsewhere {
		return
	}
	if v.Leaving && o.Upstreams.MarkLeaving(u) {
		o.Log.Info().Str("Upstream", u.Name).Str("Service", string(u.Service)).Uint64("Revision", uint64(u.Version)).Msg("upstream is leaving, as its answer states")
	}
}
