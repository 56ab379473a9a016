package ferryforward

import (
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"cactusferry.dev/ferry/ferrydiscovery"
)

// Observer records what upstreams state about themselves in their answers; nil records nothing.
type Observer struct {
	Upstreams *ferrydiscovery.Table
	Clock     clockwork.Clock
	Log       zerolog.Logger
}

// maxDeferral is the longest time for which an upstream is left without requests because of one answer.
const maxDeferral = time.Minute

// maxLoggedValue limits the length of a header value in the log.
const maxLoggedValue = 64

// Observe records an answer of an upstream. A refusal in it is that of refusing, which is another upstream if an
// engine later on the path refused.
func (o *Observer) Observe(u, refusing *ferrydiscovery.Upstream, v AnswerInfo) {
	if o == nil || v.Elsewhere {
		return
	}
	if v.Leaving && o.Upstreams.MarkLeaving(u) {
		o.Log.Info().Str("Upstream", u.Name).Str("Service", string(u.Service)).Uint64("Revision", uint64(u.Version)).Msg("upstream is leaving, as its answer states")
	}
	if v.InvalidRetryAfter != "" {
		value := v.InvalidRetryAfter[:min(len(v.InvalidRetryAfter), maxLoggedValue)]
		o.Log.Warn().Str("Upstream", refusing.Name).Str("RetryAfter", value).Msg("invalid Retry-After of an upstream ignored")
	}
	if v.RetryAfter > 0 {
		o.deferRequests(refusing, v.RetryAfter)
	}
}

func (o *Observer) deferRequests(u *ferrydiscovery.Upstream, stated time.Duration) {
	now := o.Clock.Now()
	known := u.Deferred(now)
	u.Defer(now.Add(min(stated, maxDeferral)))
	switch {
	case known:
	case stated > maxDeferral:
		o.Log.Warn().Str("Upstream", u.Name).Str("Service", string(u.Service)).Dur("RetryAfter", stated).Dur("For", maxDeferral).Msg("upstream wants no requests for longer than the limit")
	default:
		o.Log.Info().Str("Upstream", u.Name).Str("Service", string(u.Service)).Dur("RetryAfter", stated).Msg("upstream wants no requests for a time")
	}
}
