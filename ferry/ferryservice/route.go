package ferryservice

import (
	"fmt"
	"net/http"
	"path"
	"slices"
	"strings"

	"cactusferry.dev/ferry/ferrytoml"
)

var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// Route sets whether calls of one method to paths that match a pattern may be retried.
type Route struct {
	Method string `toml:"Method" json:"Method"`
	// Path is a pattern as for path.Match.
	Path       string `toml:"Path" json:"Path"`
	Idempotent bool   `toml:"Idempotent" json:"Idempotent"`
}

// Routes are the routes of a plain service; the first match applies.
type Routes []Route

const maxRoutes = 1000

func (rs Routes) check(c *ferrytoml.Check) {
	if len(rs) > maxRoutes {
		c.Fault("Routes", "must be at most %d, are %d", maxRoutes, len(rs))
		return
	}
	for i, r := range rs {
		f := fmt.Sprintf("Routes[%d]", i)
		if !slices.Contains(methods, r.Method) {
			c.Fault(f+".Method", "must be one of %s, is %q", strings.Join(methods, ", "), r.Method)
		}
		if !strings.HasPrefix(r.Path, "/") {
			c.Fault(f+".Path", "must start with /, is %q", r.Path)
		}
		if _, err := path.Match(r.Path, "/"); err != nil {
			c.Fault(f+".Path", "is not a pattern: %s", err)
		}
	}
}

// Idempotent reports whether a call may be retried; without a matching route GET, HEAD and OPTIONS may.
func (rs Routes) Idempotent(method, p string) bool {
	for _, r := range rs {
		if ok, _ := path.Match(r.Path, p); ok && r.Method == method {
			return r.Idempotent
		}
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return false
}
