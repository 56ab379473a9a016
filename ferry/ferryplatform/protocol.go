package ferryplatform

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// Operation is the operation of a call to the platform.
type Operation int

// Operations; OpInstances is for platforms with an instance list apart from objects.
const (
	OpGet Operation = iota
	OpPut
	OpDelete
	OpList
	OpWatch
	OpInstances
	operationCount
)

func (o Operation) String() string {
	return [...]string{"get", "put", "delete", "list", "watch", "instances"}[o]
}

// Call is one call to the platform; the fields used depend on the operation.
type Call struct {
	Op   Operation
	Kind string
	Name string
	// Expected is the version that the object of a write must have; NoVersion means that it must not exist.
	Expected Version
	Value    []byte
	// After is the version after which a watch returns changes, Wait the maximum time that it waits.
	After Version
	Wait  time.Duration
	// PageToken is the page token of a list, from the Reply with the previous page.
	PageToken string
}

func (c Call) String() string {
	switch c.Op {
	case OpGet, OpPut, OpDelete:
		return fmt.Sprintf("%s %s/%s", c.Op, c.Kind, c.Name)
	}
	return strings.TrimSpace(c.Op.String() + " " + c.Kind)
}

func (c Call) isWrite() bool {
	return c.Op == OpPut || c.Op == OpDelete
}

// HTTPRequest is the HTTP request of a call, with the path relative to the base URL.
type HTTPRequest struct {
	Method string
	Path   string
	Header http.Header
	Body   []byte
	// MaxAnswer is the maximum size of the answer in bytes; 0 selects the maximum for lists.
	MaxAnswer int64
}

// Reply is a successful answer; the fields set depend on the operation.
type Reply struct {
	Object  Object
	Version Version
	Changes Changes
	// NextPageToken is the token of the next page of a list, empty after the last one.
	NextPageToken string
	Instances     Instances
}

// Protocol encodes the calls and decodes the answers of a platform's HTTP API. It encodes the revisions of versions and
// returns revisions as versions; the client adds the epoch.
type Protocol interface {
	// Encode returns the HTTP request of a call.
	Encode(c Call) (HTTPRequest, error)
	// Decode decodes and validates a successful answer.
	Decode(c Call, h http.Header, body []byte) (Reply, error)
	// Refusal returns the *NotFoundError, *ConflictError or *HistoryGoneError for a status other than 2xx, or
	// nil if the status means none of them.
	Refusal(c Call, status int) error
	// Epoch returns the epoch that an answer states; false means that it states none.
	Epoch(h http.Header) (Epoch, bool, error)
}

// conditionalProtocol is the default protocol; it uses the conditional request header fields of RFC 9110.
type conditionalProtocol struct{}

// Encode returns the HTTP request of a call.
func (conditionalProtocol) Encode(c Call) (HTTPRequest, error) {
	switch c.Op {
	case OpGet:
		return HTTPRequest{Method: http.MethodGet, Path: objectPath(c.Kind, c.Name), MaxAnswer: maxValueBytes}, nil
	case OpPut:
		return HTTPRequest{Method: http.MethodPut, Path: objectPath(c.Kind, c.Name), Header: conditionHeader(c.Expected), Body: c.Value, MaxAnswer: maxValueBytes}, nil
	case OpDelete:
		return HTTPRequest{Method: http.MethodDelete, Path: objectPath(c.Kind, c.Name), Header: conditionHeader(c.Expected)}, nil
	case OpWatch:
		q := url.Values{"after": {strconv.FormatUint(uint64(c.After), 10)}, "wait": {c.Wait.String()}}
		return HTTPRequest{Method: http.MethodGet, Path: kindPath(c.Kind) + "?" + q.Encode()}, nil
	case OpInstances:
		return HTTPRequest{Method: http.MethodGet, Path: "/v1/instances"}, nil
	}
	return HTTPRequest{Method: http.MethodGet, Path: kindPath(c.Kind)}, nil
}

// conditionHeader returns the header fields that make a write conditional.
func conditionHeader(expected Version) http.Header {
	if expected == NoVersion {
		return http.Header{"If-None-Match": {"*"}}
	}
	return http.Header{"If-Match": {strconv.Quote(strconv.FormatUint(uint64(expected), 10))}}
}

// Decode decodes and validates a successful answer.
func (conditionalProtocol) Decode(c Call, h http.Header, body []byte) (Reply, error) {
	switch c.Op {
	case OpGet, OpPut:
		v, err := etag(h)
		return Reply{Version: v, Object: Object{Kind: c.Kind, Name: c.Name, Version: v, Value: body}}, err
	case OpList, OpWatch:
		changes, err := DecodeChanges(c.Kind, body)
		return Reply{Changes: changes}, err
	case OpInstances:
		instances, err := DecodeInstances(body)
		return Reply{Instances: instances}, err
	}
	return Reply{}, nil
}

// Refusal returns the error for a status other than 2xx, or nil.
func (conditionalProtocol) Refusal(c Call, status int) error {
	switch {
	case status == http.StatusNotFound && c.Op != OpPut:
		return &NotFoundError{Kind: c.Kind, Name: c.Name}
	case status == http.StatusPreconditionFailed && c.isWrite():
		return &ConflictError{Kind: c.Kind, Name: c.Name, Expected: c.Expected}
	}
	return nil
}

// Epoch returns false: this protocol has no epochs.
func (conditionalProtocol) Epoch(http.Header) (Epoch, bool, error) { return 0, false, nil }

func etag(h http.Header) (Version, error) {
	tag := h.Get("ETag")
	n, err := strconv.ParseUint(strings.Trim(tag, `"`), 10, 64)
	if err != nil || n == 0 {
		return 0, fmt.Errorf("answer with ETag %q", tag)
	}
	return Version(n), nil
}

func kindPath(kind string) string {
	return "/v1/objects/" + url.PathEscape(kind)
}

func objectPath(kind, name string) string {
	return kindPath(kind) + "/" + url.PathEscape(name)
}
