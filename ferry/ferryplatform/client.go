package ferryplatform

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	defaultCallTimeout = 5 * time.Second
	dialTimeout        = 2 * time.Second
	idleConnTimeout    = 30 * time.Second
	idleConns          = 4
)

// ClientConfig says where the platform is and how much of it this process may use.
type ClientConfig struct {
	// URL is the platform's base URL, such as http://127.0.0.1:9000.
	URL string
	// Protocol is how the platform speaks; nil stands for the project's own.
	Protocol Protocol
	// HTTP makes the calls; nil stands for a client of its own without a proxy.
	HTTP *http.Client
	// Clock times calls and budget; nil stands for the real one.
	Clock clockwork.Clock
	// Budget bounds the calls of this process.
	Budget Budget
	// Timeout bounds each call, beyond the wait that a watch asks for; 0 stands for 5 s.
	Timeout time.Duration
}

// Client is the platform over HTTP; it implements Store and Lister, and never repeats a call by itself.
type Client struct {
	base    string
	wire    Protocol
	http    *http.Client
	clock   clockwork.Clock
	timeout time.Duration
	bucket  *bucket
	calls   counters
	down    atomic.Bool
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
		cfg.Protocol = conditional{}
	}
	return &Client{
		wire:    cfg.Protocol,
		base:    strings.TrimSuffix(cfg.URL, "/"),
		http:    withoutRedirects(cfg.HTTP),
		clock:   cfg.Clock,
		timeout: cfg.Timeout,
		bucket:  newBucket(cfg.Clock, cfg.Budget),
	}
}

// withoutRedirects copies the client so that a redirect is an answer; following one would send a write twice.
func withoutRedirects(given *http.Client) *http.Client {
	c := http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idleConns,
		IdleConnTimeout:     idleConnTimeout,
	}}
	if given != nil {
		c = *given
	}
	c.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &c
}

// Calls returns the count of calls sent so far, by kind.
func (c *Client) Calls() Calls {
	return c.calls.snapshot()
}

// OverBudget counts the calls that were refused with a *BudgetError.
func (c *Client) OverBudget() int64 {
	return c.bucket.refused.Load()
}

// SetBudget replaces the budget, which a fleet's entries compute from their live count.
func (c *Client) SetBudget(b Budget) {
	c.bucket.set(b)
}

// Up reports whether the platform answered the last call; it is true before the first one.
func (c *Client) Up() bool {
	return !c.down.Load()
}

// Get returns one object or a *NotFoundError.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	r, err := c.do(ctx, Call{Op: OpGet, Kind: kind, Name: name})
	return r.Object, err
}

// Put writes a value if the object is still at the version expected, NoVersion meaning that it must not exist.
func (c *Client) Put(ctx context.Context, kind, name string, expected Version, value []byte) (Version, error) {
	call := Call{Op: OpPut, Kind: kind, Name: name, Expected: expected, Value: value}
	if len(value) > maxValueBytes {
		return 0, &RefusedError{Op: call.String(), Status: http.StatusRequestEntityTooLarge, Detail: "a value has at most 1 MiB"}
	}
	r, err := c.do(ctx, call)
	return r.Version, err
}

// Delete removes an object if it is still at the version expected.
func (c *Client) Delete(ctx context.Context, kind, name string, expected Version) error {
	_, err := c.do(ctx, Call{Op: OpDelete, Kind: kind, Name: name, Expected: expected})
	return err
}

// List returns all objects of a kind; a list of several pages is at the version of the first, from which nothing after it is missed.
func (c *Client) List(ctx context.Context, kind string) (Changes, error) {
	var out Changes
	call := Call{Op: OpList, Kind: kind}
	for {
		r, err := c.do(ctx, call)
		if err != nil {
			return Changes{}, err
		}
		if call.More == "" {
			out.Version = r.Changes.Version
		}
		out.Objects = append(out.Objects, r.Changes.Objects...)
		if r.More == "" {
			return out, nil
		}
		call.More = r.More
	}
}

// Watch waits until objects of a kind change after a version, or until the wait is over.
func (c *Client) Watch(ctx context.Context, kind string, after Version, wait time.Duration) (Changes, error) {
	r, err := c.do(ctx, Call{Op: OpWatch, Kind: kind, After: after, Wait: wait})
	return r.Changes, err
}

// Instances returns the lagging instance list.
func (c *Client) Instances(ctx context.Context) (Instances, error) {
	r, err := c.do(ctx, Call{Op: OpInstances})
	return r.Instances, err
}
