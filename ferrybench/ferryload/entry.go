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

// Steering is the answer of GET /v1/entries: the entry addresses in order of preference, and how long to keep
// them.
type Steering struct {
	Entries         []EntryAddress `json:"Entries"`
	LifetimeSeconds int            `json:"LifetimeSeconds"`
}

// EntryAddress is one entry of a steering answer.
type EntryAddress struct {
	Name    ferryid.EntryName `json:"Name"`
	Address string            `json:"Address"`
}

// DecodeSteering decodes and validates a steering answer.
func DecodeSteering(b []byte) (Steering, error) {
	var s Steering
	if err := json.Unmarshal(b, &s); err != nil {
		return Steering{}, fmt.Errorf("decode steering answer: %w", err)
	}
	for i, e := range s.Entries {
		if e.Address == "" {
			return Steering{}, fmt.Errorf("decode steering answer: entry %d has no address", i)
		}
	}
	if len(s.Entries) == 0 {
		return Steering{}, fmt.Errorf("decode steering answer: list of entries is empty")
	}
	return s, nil
}

func (s Steering) lifetime() time.Duration {
	if s.LifetimeSeconds <= 0 {
		return defaultLifetime
	}
	return time.Duration(s.LifetimeSeconds) * time.Second
}

// steeringCache caches the steering answer of each caller for its lifetime.
type steeringCache struct {
	cfg     Config
	mu      sync.Mutex
	answers map[steeringKey]*cachedAnswer
	next    int
}

// steeringKey identifies a caller of a customer and the service that it calls; each key has its own steering
// answer.
type steeringKey struct {
	customer ferryid.CustomerName
	service  ferryid.ServiceName
	caller   int
}

type cachedAnswer struct {
	addresses  []string
	expires    time.Time
	refreshing bool
}

func newSteeringCache(cfg Config) *steeringCache {
	return &steeringCache{cfg: cfg, answers: map[steeringKey]*cachedAnswer{}}
}

// address returns the address of the preferred entry. Without a steering answer it rotates over the
// configured entries.
func (c *steeringCache) address(ctx context.Context, key steeringKey) string {
	c.mu.Lock()
	cached := c.answers[key]
	if cached == nil {
		cached = &cachedAnswer{}
		c.answers[key] = cached
	}
	refresh := !cached.refreshing && c.cfg.Clock.Now().After(cached.expires)
	cached.refreshing = cached.refreshing || refresh
	c.mu.Unlock()
	if refresh {
		c.refresh(ctx, key)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(cached.addresses) > 0 {
		return cached.addresses[0]
	}
	c.next++
	return c.cfg.Entries[c.next%len(c.cfg.Entries)]
}

// markFailed moves an entry that could not be reached to the end of a caller's list.
func (c *steeringCache) markFailed(key steeringKey, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cached := c.answers[key]
	if cached != nil && len(cached.addresses) > 1 && cached.addresses[0] == address {
		cached.addresses = append(cached.addresses[1:], address)
	}
}

// refresh requests a new steering answer from the configured entries in turn; if all fail, the previous
// answer stays in use.
func (c *steeringCache) refresh(ctx context.Context, key steeringKey) {
	var s Steering
	var err error
	for range c.cfg.Entries {
		if s, err = c.fetch(ctx, key); err == nil {
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	cached := c.answers[key]
	cached.refreshing = false
	cached.expires = c.cfg.Clock.Now().Add(max(c.cfg.MinLifetime, s.lifetime()))
	if err != nil {
		return
	}
	cached.addresses = nil
	for _, a := range s.Entries {
		cached.addresses = append(cached.addresses, a.Address)
	}
}

func (c *steeringCache) fetch(ctx context.Context, key steeringKey) (Steering, error) {
	c.mu.Lock()
	c.next++
	seed := c.cfg.Entries[c.next%len(c.cfg.Entries)]
	c.mu.Unlock()
	u := "http://" + seed + "/v1/entries?service=" + url.QueryEscape(string(key.service))
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return Steering{}, err
	}
	authorize(req, c.cfg, key.customer)
	res, err := c.cfg.Client.Do(req)
	if err != nil {
		return Steering{}, err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if err != nil {
		return Steering{}, err
	}
	if res.StatusCode != http.StatusOK {
		return Steering{}, fmt.Errorf("GET /v1/entries: status is %d, want 200", res.StatusCode)
	}
	return DecodeSteering(b)
}

func authorize(req *http.Request, cfg Config, c ferryid.CustomerName) {
	if key := cfg.Keys[c]; key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
}
