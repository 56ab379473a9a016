package ferryload

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"cactusferry.dev/ferry/ferryid"
)

const (
	maxAnswerBytes  = 1 << 20
	defaultLifetime = 30 * time.Second
)

// Steering is the answer of GET /v1/entries: the addresses to use in this order, and for how long.
type Steering struct {
	Entries         []EntryAddress `json:"Entries"`
	LifetimeSeconds int            `json:"LifetimeSeconds"`
}

// EntryAddress is one entry of a steering answer.
type EntryAddress struct {
	Name    ferryid.EntryName `json:"Name"`
	Address string            `json:"Address"`
}

// DecodeSteering reads a steering answer and checks it.
func DecodeSteering(b []byte) (Steering, error) {
	var s Steering
	if err := json.Unmarshal(b, &s); err != nil {
		return Steering{}, fmt.Errorf("decode steering answer: %w", err)
	}
	for i, e := range s.Entries {
		if e.Address == "" {
			return Steering{}, fmt.Errorf("steering answer: entry %d has no address", i)
		}
	}
	if len(s.Entries) == 0 {
		return Steering{}, fmt.Errorf("steering answer names no entry")
	}
	return s, nil
}

func (s Steering) lifetime() time.Duration {
	if s.LifetimeSeconds <= 0 {
		return defaultLifetime
	}
	return time.Duration(s.LifetimeSeconds) * time.Second
}

// entries keeps each customer's steering answer for its lifetime, as callers do.
type entries struct {
	cfg  Config
	mu   sync.Mutex
	kept map[steerKey]*kept
	next int
}

// steerKey names one caller of a customer, each of which keeps an answer of its own.
type steerKey struct {
	customer ferryid.CustomerName
	service  ferryid.ServiceName
	caller   int
}

type kept struct {
	addresses []string
	until     time.Time
	asking    bool
}

func newEntries(cfg Config) *entries {
	return &entries{cfg: cfg, kept: map[steerKey]*kept{}}
}

// address returns the entry to use; without an answer it is one of the seeds in turn.
func (e *entries) address(ctx context.Context, key steerKey) string {
	e.mu.Lock()
	k := e.kept[key]
	if k == nil {
		k = &kept{}
		e.kept[key] = k
	}
	ask := !k.asking && e.cfg.Clock.Now().After(k.until)
	k.asking = k.asking || ask
	e.mu.Unlock()
	if ask {
		e.ask(ctx, key)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(k.addresses) > 0 {
		return k.addresses[0]
	}
	e.next++
	return e.cfg.Entries[e.next%len(e.cfg.Entries)]
}

// failed puts an entry that could not be reached last in a caller's order.
func (e *entries) failed(key steerKey, address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	k := e.kept[key]
	if k != nil && len(k.addresses) > 1 && k.addresses[0] == address {
		k.addresses = append(k.addresses[1:], address)
	}
}

// ask asks one seed after the other; if none answers, the old answer stays in use.
func (e *entries) ask(ctx context.Context, key steerKey) {
	var s Steering
	var err error
	for range e.cfg.Entries {
		if s, err = e.get(ctx, key); err == nil {
			break
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	k := e.kept[key]
	k.asking = false
	k.until = e.cfg.Clock.Now().Add(max(e.cfg.Keep, s.lifetime()))
	if err != nil {
		return
	}
	k.addresses = nil
	for _, a := range s.Entries {
		k.addresses = append(k.addresses, a.Address)
	}
}

func (e *entries) get(ctx context.Context, key steerKey) (Steering, error) {
	e.mu.Lock()
	e.next++
	seed := e.cfg.Entries[e.next%len(e.cfg.Entries)]
	e.mu.Unlock()
	u := "http://" + seed + "/v1/entries?service=" + url.QueryEscape(string(key.service))
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return Steering{}, err
	}
	authorize(req, e.cfg, key.customer)
	res, err := e.cfg.Client.Do(req)
	if err != nil {
		return Steering{}, err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if err != nil {
		return Steering{}, err
	}
	if res.StatusCode != http.StatusOK {
		return Steering{}, fmt.Errorf("entries: status %d", res.StatusCode)
	}
	return DecodeSteering(b)
}

func authorize(req *http.Request, cfg Config, c ferryid.CustomerName) {
	if key := cfg.Keys[c]; key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
}
