package ferryplatform

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"strconv"
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
	return &Client{
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
	res, err := c.do(ctx, call{kind: callGet, op: "get " + kind + "/" + name, method: http.MethodGet, path: objectPath(kind, name), maxBody: maxValueBytes})
	if err != nil {
		return Object{}, notFound(err, kind, name)
	}
	v, err := res.version()
	if err != nil {
		return Object{}, &UnavailableError{Op: res.op, Err: err}
	}
	return Object{Kind: kind, Name: name, Version: v, Value: res.body}, nil
}

// Put writes a value if the object is still at the version expected, NoVersion meaning that it must not exist.
func (c *Client) Put(ctx context.Context, kind, name string, expected Version, value []byte) (Version, error) {
	if len(value) > maxValueBytes {
		return 0, &RefusedError{Op: "put " + kind + "/" + name, Status: http.StatusRequestEntityTooLarge, Detail: "a value has at most 1 MiB"}
	}
	res, err := c.do(ctx, call{kind: callPut, op: "put " + kind + "/" + name, method: http.MethodPut, path: objectPath(kind, name), condition: conditionOf(expected), body: value, write: true, maxBody: maxValueBytes})
	if err != nil {
		return 0, conflict(err, kind, name, expected)
	}
	v, err := res.version()
	if err != nil {
		return 0, &UnknownOutcomeError{Op: res.op, Err: err}
	}
	return v, nil
}

// Delete removes an object if it is still at the version expected.
func (c *Client) Delete(ctx context.Context, kind, name string, expected Version) error {
	_, err := c.do(ctx, call{kind: callDelete, op: "delete " + kind + "/" + name, method: http.MethodDelete, path: objectPath(kind, name), condition: conditionOf(expected), write: true, maxBody: maxValueBytes})
	if err != nil {
		return conflict(notFound(err, kind, name), kind, name, expected)
	}
	return nil
}

// List returns all objects of a kind.
func (c *Client) List(ctx context.Context, kind string) (Changes, error) {
	return c.changes(ctx, call{kind: callList, op: "list " + kind, method: http.MethodGet, path: kindPath(kind), maxBody: maxListBytes}, kind)
}

// Watch waits until objects of a kind change after a version, or until the wait is over.
func (c *Client) Watch(ctx context.Context, kind string, after Version, wait time.Duration) (Changes, error) {
	q := url.Values{"after": {strconv.FormatUint(uint64(after), 10)}, "wait": {wait.String()}}
	return c.changes(ctx, call{kind: callWatch, op: "watch " + kind, method: http.MethodGet, path: kindPath(kind) + "?" + q.Encode(), wait: wait, maxBody: maxListBytes}, kind)
}

func (c *Client) changes(ctx context.Context, in call, kind string) (Changes, error) {
	res, err := c.do(ctx, in)
	if err != nil {
		return Changes{}, err
	}
	out, err := DecodeChanges(kind, res.body)
	if err != nil {
		return Changes{}, &UnavailableError{Op: in.op, Err: err}
	}
	return out, nil
}

// Instances returns the lagging instance list.
func (c *Client) Instances(ctx context.Context) (Instances, error) {
	res, err := c.do(ctx, call{kind: callInstances, op: "instances", method: http.MethodGet, path: "/v1/instances", maxBody: maxListBytes})
	if err != nil {
		return nil, err
	}
	out, err := DecodeInstances(res.body)
	if err != nil {
		return nil, &UnavailableError{Op: "instances", Err: err}
	}
	return out, nil
}

func kindPath(kind string) string {
	return "/v1/objects/" + url.PathEscape(kind)
}

func objectPath(kind, name string) string {
	return kindPath(kind) + "/" + url.PathEscape(name)
}
