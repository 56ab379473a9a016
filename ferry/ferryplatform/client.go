package ferryplatform

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"cactusferry.dev/ferry/ferrymemory"
	"cactusferry.dev/ferry/ferrystatus"
)

const (
	defaultCallTimeout  = 5 * time.Second
	dialTimeout         = 2 * time.Second
	idleConnTimeout     = 30 * time.Second
	maxIdleConnsPerHost = 4
	maxHeaderBytes      = 64 << 10 // status line and headers of an answer
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// URL is the platform's base URL, such as http://127.0.0.1:9000.
	URL string
	// Protocol encodes and decodes calls; nil selects the default protocol with conditional requests.
	Protocol Protocol
	// HTTP sends the calls; nil selects a new client without a proxy.
	HTTP *http.Client
	// Clock is the clock for timeouts and the budget; nil selects the real clock.
	Clock clockwork.Clock
	// Budget limits the rate of calls.
	Budget Budget
	// Timeout bounds each call, in addition to the wait of a watch; 0 selects 5 s.
	Timeout time.Duration
	// Memory bounds the answers of all calls together; nil means no such bound.
	Memory *ferrymemory.Budget
}

// Client calls the platform over HTTP; it implements Store and Lister and never retries a call.
type Client struct {
	base     string
	protocol Protocol
	http     *http.Client
	clock    clockwork.Clock
	timeout  time.Duration
	bucket   *tokenBucket
	memory   *ferrymemory.Budget
	calls    counters
	down     atomic.Bool
	epoch    epochState
}

// New returns a client of the platform.
func New(cfg ClientConfig) *Client {
	if cfg.Clock == nil {
		cfg.Clock = clockwork.NewRealClock()
	}
	if cfg.Timeout <= 0 {
		cfg.Timeout = defaultCallTimeout
	}
	if cfg.Protocol == nil {
		cfg.Protocol = conditionalProtocol{}
	}
	return &Client{
		protocol: cfg.Protocol,
		base:     strings.TrimSuffix(cfg.URL, "/"),
		http:     newHTTP(cfg.HTTP),
		clock:    cfg.Clock,
		timeout:  cfg.Timeout,
		bucket:   newTokenBucket(cfg.Clock, cfg.Budget),
		memory:   cfg.Memory,
	}
}

// newHTTP returns a copy of the client that accepts final statuses only and follows no redirects, as that would send a
// write twice.
func newHTTP(given *http.Client) *http.Client {
	c := http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,

		MaxResponseHeaderBytes: maxHeaderBytes,
	}}
	if given != nil {
		c = *given
	}
	c.Transport = &ferrystatus.Transport{Base: c.Transport}
	c.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &c
}

// Renew closes the idle connections, so that later calls use new ones.
func (c *Client) Renew() { c.http.CloseIdleConnections() }

// Calls returns the number of calls sent, by operation.
func (c *Client) Calls() Calls {
	return c.calls.snapshot()
}

// OverBudget returns the number of calls refused with a *BudgetError.
func (c *Client) OverBudget() int64 {
	return c.bucket.refused.Load()
}

// SetBudget replaces the budget; entries call it with their share when the number of live entries changes.
func (c *Client) SetBudget(b Budget) {
	c.bucket.set(b)
}

// Up reports whether the platform answered the last call; it is true before the first one.
func (c *Client) Up() bool {
	return !c.down.Load()
}

// Get returns an object, or a *NotFoundError.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	r, err := c.do(ctx, Call{Op: OpGet, Kind: kind, Name: name})
	return r.Object, err
}

// Put writes a value if the object is at the expected version; NoVersion means that it must not exist.
func (c *Client) Put(ctx context.Context, kind, name string, expected Version, value []byte) (Version, error) {
	call := Call{Op: OpPut, Kind: kind, Name: name, Expected: expected, Value: value}
	if len(value) > maxValueBytes {
		return 0, &RefusedError{Op: call.String(), Status: http.StatusRequestEntityTooLarge, Detail: "a value has at most 1 MiB"}
	}
	r, err := c.do(ctx, call)
	return r.Version, err
}

// Delete deletes an object if it is at the expected version.
func (c *Client) Delete(ctx context.Context, kind, name string, expected Version) error {
	_, err := c.do(ctx, Call{Op: OpDelete, Kind: kind, Name: name, Expected: expected})
	return err
}

// List returns all objects of a kind. A list of several pages has the version of the first page, so that a
// watch from it misses no change made while the others were read. If the epoch changes meanwhile, the list begins anew.
func (c *Client) List(ctx context.Context, kind string) (Changes, error) {
	var out Changes
	call := Call{Op: OpList, Kind: kind}
	for {
		r, err := c.do(ctx, call)
		if err != nil {
			return Changes{}, err
		}
		if call.PageToken == "" {
			out = Changes{Version: r.Changes.Version}
		}
		if r.Changes.Version.Epoch() != out.Version.Epoch() {
			call.PageToken = ""
			continue
		}
		out.Objects = append(out.Objects, r.Changes.Objects...)
		if r.NextPageToken == "" {
			return out, nil
		}
		call.PageToken = r.NextPageToken
	}
}

// Watch returns when objects of a kind have changed after a version, or when the wait is over.
func (c *Client) Watch(ctx context.Context, kind string, after Version, wait time.Duration) (Changes, error) {
	r, err := c.do(ctx, Call{Op: OpWatch, Kind: kind, After: after, Wait: wait})
	return r.Changes, err
}

// Instances returns the instance list, which lags behind.
func (c *Client) Instances(ctx context.Context) (Instances, error) {
	r, err := c.do(ctx, Call{Op: OpInstances})
	return r.Instances, err
}
