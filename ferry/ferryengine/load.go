package ferryengine

import (
	"math"
	"time"

	"cactusferry.dev/ferry/ferryid"
)

// State tells whether an engine accepts new work.
type State string

// States of an engine.
const (
	StateLive    State = "Live"
	StateLeaving State = "Leaving"
)

func (s State) check() error {
	switch s {
	case StateLive, StateLeaving:
		return nil
	}
	return fieldError("State", "must be %q or %q, is %q", StateLive, StateLeaving, string(s))
}

const (
	maxRate        = 1e9
	maxOutstanding = 1 << 40
	maxKVBytes     = 256 << 20
)

// Load is the load report of an engine, which lags behind.
type Load struct {
	Name              ferryid.UpstreamName    `json:"Name"`
	Incarnation       ferryid.Incarnation     `json:"Incarnation"`
	Layers            ferryid.LayerRange      `json:"Layers"`
	State             State                   `json:"State"`
	RunningStreams    int                     `json:"RunningStreams"`
	OutstandingTokens ferryid.Tokens          `json:"OutstandingTokens"`
	TokensPerSecond   ferryid.TokensPerSecond `json:"TokensPerSecond"`
	At                time.Time               `json:"At"`
	// Model, Version and Adapter are what the engine has loaded by orders, empty before the first order.
	Model   string `json:"Model,omitempty"`
	Version string `json:"Version,omitempty"`
	Adapter string `json:"Adapter,omitempty"`
}

// Check returns a *FieldError for the first invalid field.
func (l *Load) Check() error {
	if err := ferryid.CheckName(string(l.Name)); err != nil {
		return fieldError("Name", "%v", err)
	}
	if rate := float64(l.TokensPerSecond); math.IsNaN(rate) || rate < 0 || rate > maxRate {
		return fieldError("TokensPerSecond", "must be from 0 to %v, is %v", maxRate, rate)
	}
	if l.OutstandingTokens < 0 || l.OutstandingTokens > maxOutstanding {
		return fieldError("OutstandingTokens", "must be from 0 to %d, is %d", int64(maxOutstanding), l.OutstandingTokens)
	}
	if l.RunningStreams < 0 {
		return fieldError("RunningStreams", "must not be negative, is %d", l.RunningStreams)
	}
	return l.State.check()
}

// KV is the exported KV cache of a stream on one engine.
type KV struct {
	Stream    ferryid.StreamID   `json:"Stream"`
	Layers    ferryid.LayerRange `json:"Layers"`
	Positions int                `json:"Positions"`
	Data      []byte             `json:"Data"`
}

// Check returns a *FieldError for the first invalid field.
func (k *KV) Check() error {
	if k.Stream == "" || len(k.Stream) > maxStreamBytes {
		return fieldError("Stream", "must have 1 to %d bytes", maxStreamBytes)
	}
	if k.Layers.Len() == 0 {
		return fieldError("Layers", "must not be empty")
	}
	if k.Positions < 0 || k.Positions > maxMaxTokens {
		return fieldError("Positions", "must be from 0 to %d, is %d", maxMaxTokens, k.Positions)
	}
	return nil
}

// Order is the target state of an engine.
type Order struct {
	Fence   ferryid.Fence       `json:"Fence"`
	Service ferryid.ServiceName `json:"Service"`
	Model   string              `json:"Model"`
	Version string              `json:"Version"`
	Adapter string              `json:"Adapter,omitempty"`
	Layers  ferryid.LayerRange  `json:"Layers"`
	State   State               `json:"State"`
}

// Check returns a *FieldError for the first invalid field.
func (o *Order) Check() error {
	if o.Fence == 0 {
		return fieldError("Fence", "must be at least 1")
	}
	if err := ferryid.CheckName(string(o.Service)); err != nil {
		return fieldError("Service", "%v", err)
	}
	if o.Layers.Len() == 0 {
		return fieldError("Layers", "must not be empty")
	}
	return o.State.check()
}

// CacheEvent reports that an engine stored or evicted the KV cache of a prompt prefix.
type CacheEvent struct {
	Seq    uint64 `json:"Seq"`
	Prefix string `json:"Prefix"`
	Stored bool   `json:"Stored"`
}

// CacheEvents is a list of cache events; it lags behind and may have gaps.
type CacheEvents struct {
	Events []CacheEvent `json:"Events"`
}

// Check returns a *FieldError unless the sequence numbers increase.
func (c *CacheEvents) Check() error {
	for i := 1; i < len(c.Events); i++ {
		if c.Events[i].Seq <= c.Events[i-1].Seq {
			return fieldError("Events", "sequence %d follows %d", c.Events[i].Seq, c.Events[i-1].Seq)
		}
	}
	return nil
}

// CancelRequest cancels the work of a stream in an epoch and all earlier ones.
type CancelRequest struct {
	Epoch ferryid.Epoch `json:"Epoch"`
}

// CancelResult tells whether this incarnation of the engine ran any layer of the stream in the cancelled
// epochs.
type CancelResult struct {
	Incarnation ferryid.Incarnation `json:"Incarnation"`
	Ran         bool                `json:"Ran"`
}

// Check accepts every result.
func (*CancelResult) Check() error { return nil }
