package ferryplatform

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// Operation is one kind of call to the platform.
type Operation int

// The operations; OpInstances is for platforms that keep instances apart from objects.
const (
	OpGet Operation = iota
	OpPut
	OpDelete
	OpList
	OpWatch
	OpInstances
	operations
)

func (o Operation) String() string {
	return [...]string{"get", "put", "delete", "list", "watch", "instances"}[o]
}

// Call is one call to the platform; which fields count depends on the operation.
type Call struct {
	Op   Operation
	Kind string
	Name string
	// Expected is the version that the object of a write must have, NoVersion meaning that it must not exist.
	Expected Version
	Value    []byte
	// After and Wait are what a watch watches from and for how long.
	After Version
	Wait  time.Duration
	// More continues a list after the page that said so.
	More string
}

func (c Call) String() string {
	switch c.Op {
	case OpGet, OpPut, OpDelete:
		return fmt.Sprintf("%s %s/%s", c.Op, c.Kind, c.Name)
	}
	return strings.TrimSpace(c.Op.String() + " " + c.Kind)
}

func (c Call) write() bool {
	return c.Op == OpPut || c.Op == OpDelete
}

// Wire is a call as it goes to the platform over HTTP, its path relative to the base URL.
type Wire struct {
	Method string
	Path   string
	Header http.Header
	Body   []byte
	// MaxAnswer is the most bytes that an answer may have; zero stands for the bound of lists.
	MaxAnswer int64
}

// Reply is the platform's answer of success, as far as the operation has one.
type Reply struct {
	Object  Object
	Version Version
	Changes Changes
	// More, if set, says that the list goes on.
	More      string
	Instances Instances
}

// Protocol is the way in which a platform speaks over HTTP.
type Protocol interface {
	// Encode puts a call into its wire form.
	Encode(c Call) (Wire, error)
	// Decode reads an answer of success, and checks it.
	Decode(c Call, h http.Header, body []byte) (Reply, error)
	// Refusal judges the status of an answer that is no success: a *NotFoundError, *ConflictError or *HistoryGoneError, or nil if it is none of them.
	Refusal(c Call, status int) error
}

// conditional is the project's own protocol, with conditions in HTTP's header fields (RFC 9110).
type conditional struct{}

// Encode puts a call into its wire form.
func (conditional) Encode(c Call) (Wire, error) {
	switch c.Op {
	case OpGet:
		return Wire{Method: http.MethodGet, Path: objectPath(c.Kind, c.Name), MaxAnswer: maxValueBytes}, nil
	case OpPut:
		return Wire{Method: http.MethodPut, Path: objectPath(c.Kind, c.Name), Header: condition(c.Expected), Body: c.Value, MaxAnswer: maxValueBytes}, nil
	case OpDelete:
		return Wire{Method: http.MethodDelete, Path: objectPath(c.Kind, c.Name), Header: condition(c.Expected)}, nil
	case OpWatch:
		q := url.Values{"after": {strconv.FormatUint(uint64(c.After), 10)}, "wait": {c.Wait.String()}}
		return Wire{Method: http.MethodGet, Path: kindPath(c.Kind) + "?" + q.Encode()}, nil
	case OpInstances:
		return Wire{Method: http.MethodGet, Path: "/v1/instances"}, nil
	}
	return Wire{Method: http.MethodGet, Path: kindPath(c.Kind)}, nil
}

// condition makes a write conditional.
func condition(expected Version) http.Header {
	if expected == NoVersion {
		return http.Header{"If-None-Match": {"*"}}
	}
	return http.Header{"If-Match": {strconv.Quote(strconv.FormatUint(uint64(expected), 10))}}
}

// Decode reads an answer of success, and checks it.
func (conditional) Decode(c Call, h http.Header, body []byte) (Reply, error) {
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

// Refusal judges the status of an answer that is no success.
func (conditional) Refusal(c Call, status int) error {
	switch {
	case status == http.StatusNotFound && c.Op != OpPut:
		return &NotFoundError{Kind: c.Kind, Name: c.Name}
	case status == http.StatusPreconditionFailed && c.write():
		return &ConflictError{Kind: c.Kind, Name: c.Name, Expected: c.Expected}
	}
	return nil
}

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
