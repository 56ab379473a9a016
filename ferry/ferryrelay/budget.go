package ferryrelay

import (
	"time"

	"cactusferry.dev/ferry/ferryid"
)

// defaultWithin is the time within which changes must be known if none is configured.
const defaultWithin = 2 * time.Second

// maxRetry bounds the interval of direct calls after one has failed.
const maxRetry = 5 * time.Second

// Shares of the time within which a change must be known, in percent. A reader that loses the platform right after a
// proof and the direct call of an entry that reads through it leave the remaining third for slow links and processors.
const (
	proofShare = 35
	callShare  = 15
	staleShare = 55
	hopShare   = 10
	retryShare = 125
)

// budget divides the time within which a change must be known among the steps from the platform to an entry.
type budget struct {
	// proof is the age of its proof at which a reader asks the platform again.
	proof time.Duration
	// call is the time after which a call to the platform is repeated on a new connection.
	call time.Duration
	// stale is the age of its proof from which a reader's answer is of no use, and the platform is called directly.
	stale time.Duration
	// hop is the time allowed for an answer of a reader beyond the wait of its request.
	hop time.Duration
	// retry is the interval of direct calls after one has failed, while the reader has lost the platform too.
	retry time.Duration
}

func budgetFor(within time.Duration) budget {
	if within <= 0 {
		within = defaultWithin
	}
	share := func(percent time.Duration) time.Duration { return within * percent / 100 }
	return budget{proof: share(proofShare), call: share(callShare), stale: share(staleShare), hop: share(hopShare), retry: min(share(retryShare), maxRetry)}
}

// patience returns how long an entry whose view has the given age may wait for its reader.
func (b budget) patience(age time.Duration) time.Duration { return max(0, b.stale-age) }

func (r *Relay) budget(kind string) budget { return budgetFor(r.cfg.Within(kind)) }

// ProofInterval returns the interval at which an entry that reads a kind from the platform directly proves it current.
func (r *Relay) ProofInterval(kind string) time.Duration { return r.budget(kind).proof }

// recordView records that this entry knows a kind as it was at the given time.
func (r *Relay) recordView(kind string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at.After(r.views[kind]) {
		r.views[kind] = at
	}
}

// hasView reports whether this entry has read a kind.
func (r *Relay) hasView(kind string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.views[kind].IsZero()
}

// viewAge returns the time since this entry's view of a kind was last certainly current.
func (r *Relay) viewAge(kind string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cfg.Clock.Since(r.views[kind])
}

// provedByGet reports whether direct reads of a single object prove a kind current, so that its watch may take longer.
func (r *Relay) provedByGet(kind string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cfg.Clock.Since(r.lastGets[kind]) < r.budget(kind).stale
}

// logBehind logs the first answer of a reader that was too old to be of use.
func (r *Relay) logBehind(reader ferryid.EntryName, kind string, age time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.behind[kind] == reader {
		return
	}
	r.behind[kind] = reader
	r.cfg.Log.Info().Str("Reader", string(reader)).Str("Kind", kind).Dur("Age", age).Msg("relay reader has not proved its objects current; reading from the platform")
}

// recordAnswer records that a reader's answer was of use.
func (r *Relay) recordAnswer(reader ferryid.EntryName, kind string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.behind[kind] == reader {
		delete(r.behind, kind)
		r.cfg.Log.Info().Str("Reader", string(reader)).Str("Kind", kind).Msg("relay reader proves its objects current again")
	}
}
