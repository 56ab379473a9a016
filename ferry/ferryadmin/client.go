package ferryadmin

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"cactusferry.dev/ferry/ferrydocument"
	"cactusferry.dev/ferry/ferryevent"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
	"cactusferry.dev/ferry/ferryservice"
	"cactusferry.dev/ferry/ferrystatus"
	"cactusferry.dev/ferry/ferrytoml"
)

const (
	// callTimeout is longer than an entry takes to resolve a write with unknown outcome at the platform.
	callTimeout    = 25 * time.Second
	dialTimeout    = 2 * time.Second
	maxHeaderBytes = 64 << 10 // status line and headers of an answer
	maxAnswerBytes = 64 << 20
)

// Client is a client of the operators' API of one entry.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// NewClient returns a client for the entry at the base URL, such as http://127.0.0.1:9101.
//
// The token may be empty, and keys may be nil without TLS.
func NewClient(base, token string, keys *tls.Config) *Client {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, TLSClientConfig: keys, MaxResponseHeaderBytes: maxHeaderBytes}
	return &Client{
		base:  strings.TrimSuffix(base, "/"),
		token: token,
		http:  &http.Client{Transport: &ferrystatus.Transport{Base: transport}, Timeout: callTimeout},
	}
}

// UnreachableError is returned if an entry did not answer.
type UnreachableError struct {
	Entry string
	// Sent is set if the entry may have received the request.
	Sent bool
	Err  error
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("entry %s did not answer: %v", e.Entry, e.Err)
}

func (e *UnreachableError) Unwrap() error { return e.Err }

// RefusedError is returned if an entry answered with an error status.
type RefusedError struct {
	Entry   string
	Problem ferryoutcome.Problem
}

func (e *RefusedError) Error() string {
	text := e.Problem.Detail
	if text == "" {
		text = http.StatusText(e.Problem.Status)
	}
	return fmt.Sprintf("entry %s refused (%d): %s", e.Entry, e.Problem.Status, text)
}

// Status returns the entry's status.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var out Status
	return out, c.get(ctx, "/admin/status", &out)
}

// Events returns the entry's events of the time line.
func (c *Client) Events(ctx context.Context) (ferryevent.Events, error) {
	var out ferryevent.Events
	return out, c.get(ctx, "/admin/events", &out)
}

// Document returns the version of a document that is in force at the entry.
func (c *Client) Document(ctx context.Context, service ferryid.ServiceName) (ferryservice.Accepted, error) {
	var out ferryservice.Accepted
	if err := c.get(ctx, documentPath(service), &out); err != nil {
		return ferryservice.Accepted{}, err
	}
	return out, nil
}

// Documents returns all documents that are in force at the entry.
func (c *Client) Documents(ctx context.Context) ([]ferryservice.Accepted, error) {
	var out []ferryservice.Accepted
	return out, c.get(ctx, "/admin/documents", &out)
}

// Claims returns the claims of a service as JSON, limited to one key unless it is empty.
func (c *Client) Claims(ctx context.Context, service ferryid.ServiceName, key string) (json.RawMessage, error) {
	q := url.Values{"service": {string(service)}, "key": {key}}
	var out json.RawMessage
	return out, c.get(ctx, "/admin/claims?"+q.Encode(), &out)
}

// Drain marks an upstream as leaving, or clears the mark.
func (c *Client) Drain(ctx context.Context, req DrainRequest) error {
	status, body, err := c.do(ctx, http.MethodPost, "/admin/drain", req)
	if err != nil {
		return err
	}
	if status/100 != 2 {
		return c.refused(status, body)
	}
	return nil
}

// Apply applies a document. It returns the error types of ferrydocument.Apply.
func (c *Client) Apply(ctx context.Context, req ferrydocument.ApplyRequest) (ferryservice.Accepted, error) {
	status, body, err := c.do(ctx, http.MethodPost, documentPath(req.Service), req)
	if err != nil {
		return ferryservice.Accepted{}, err
	}
	switch status {
	case http.StatusOK:
		var out ferryservice.Accepted
		return out, c.decode(body, &out)
	case http.StatusConflict:
		return ferryservice.Accepted{}, c.lostRace(body)
	case http.StatusUnprocessableEntity:
		var out Faults
		if err := c.decode(body, &out); err != nil {
			return ferryservice.Accepted{}, err
		}
		return ferryservice.Accepted{}, &ferrytoml.FaultsError{Name: string(req.Service), Faults: out.Faults}
	case http.StatusAccepted:
		var out Unresolved
		if err := c.decode(body, &out); err != nil {
			return ferryservice.Accepted{}, err
		}
		return ferryservice.Accepted{}, &ferrydocument.UnresolvedError{ApplyID: out.ApplyID, Command: out.Command, Err: errors.New("answer lost between the entry and the platform")}
	}
	return ferryservice.Accepted{}, c.refused(status, body)
}

// lostRace distinguishes a lost race from other conflicts, whose bodies are problem details.
func (c *Client) lostRace(body []byte) error {
	var out LostRace
	if err := c.decode(body, &out); err != nil {
		return err
	}
	if out.Winner.Generation == 0 {
		return c.refused(http.StatusConflict, body)
	}
	return &ferrydocument.LostRaceError{Winner: out.Winner, Diff: out.Diff}
}

func documentPath(service ferryid.ServiceName) string {
	return "/admin/documents/" + url.PathEscape(string(service))
}

func (c *Client) get(ctx context.Context, path string, v any) error {
	status, body, err := c.do(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return c.refused(status, body)
	}
	return c.decode(body, v)
}

func (c *Client) do(ctx context.Context, method, path string, in any) (int, []byte, error) {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return 0, nil, err
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return 0, nil, &UnreachableError{Entry: c.base, Err: err}
	}
	if in != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return 0, nil, &UnreachableError{Entry: c.base, Sent: !dialFailed(err), Err: unwrapURL(err)}
	}
	defer res.Body.Close()
	b, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if err != nil {
		return 0, nil, &UnreachableError{Entry: c.base, Sent: true, Err: err}
	}
	return res.StatusCode, b, nil
}

// dialFailed reports whether a call failed before a connection was established.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// unwrapURL returns the error inside a *url.Error, whose text would repeat the URL.
func unwrapURL(err error) error {
	var u *url.Error
	if errors.As(err, &u) {
		return u.Err
	}
	return err
}

func (c *Client) decode(body []byte, v any) error {
	if err := json.Unmarshal(body, v); err != nil {
		return fmt.Errorf("decode the answer of entry %s: %w", c.base, err)
	}
	return nil
}

func (c *Client) refused(status int, body []byte) error {
	e := &RefusedError{Entry: c.base}
	if json.Unmarshal(body, &e.Problem) != nil {
		e.Problem.Detail = strings.TrimSpace(string(body))
	}
	e.Problem.Status = status
	return e
}
