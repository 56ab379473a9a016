package main

import (
	"errors"
	"fmt"
	"maps"
	"net/url"
	"slices"
	"strings"
	"sync"

	"cactusferry.dev/ferry/ferryadmin"
)

// urls returns the entries' URLs from the flags.
func (a *app) urls() []string {
	var out []string
	for _, e := range a.Entries {
		for _, u := range strings.Split(e, ",") {
			if u = strings.TrimSpace(u); u != "" {
				out = append(out, u)
			}
		}
	}
	return out
}

// firstAnswer calls the entries in order until one answers.
func firstAnswer[T any](a *app, call func(*ferryadmin.Client) (T, error)) (T, error) {
	v, _, err := firstAnswerWithURL(a, call)
	return v, err
}

// firstAnswerWithURL is like firstAnswer and also returns the URL of the entry that answered.
func firstAnswerWithURL[T any](a *app, call func(*ferryadmin.Client) (T, error)) (T, string, error) {
	var zero T
	var errs []error
	for _, u := range a.urls() {
		v, err := call(ferryadmin.NewClient(u, a.Token, a.tlsConfig))
		if !errors.As(err, new(*ferryadmin.UnreachableError)) {
			return v, u, err
		}
		errs = append(errs, err)
	}
	if len(errs) == 0 {
		return zero, "", errors.New("no entry URL: --entry is empty")
	}
	return zero, "", errors.Join(errs...)
}

// reply is the answer of one entry.
type reply[T any] struct {
	name  string
	value T
	err   error
}

// callAll gets the list of entries from the first entry that answers, and calls each of them concurrently.
func callAll[T any](a *app, call func(*ferryadmin.Client) (T, error)) ([]reply[T], error) {
	st, from, err := firstAnswerWithURL(a, func(c *ferryadmin.Client) (ferryadmin.Status, error) { return c.Status(a.ctx) })
	if err != nil {
		return nil, err
	}
	urls := map[string]string{}
	for _, e := range st.Entries {
		urls[string(e.Name)] = scheme(from) + e.PeerAddress
	}
	urls[string(st.Entry)] = from
	names := slices.Sorted(maps.Keys(urls))
	replies := make([]reply[T], len(names))
	var wg sync.WaitGroup
	for i, name := range names {
		wg.Go(func() {
			v, err := call(ferryadmin.NewClient(urls[name], a.Token, a.tlsConfig))
			replies[i] = reply[T]{name, v, err}
		})
	}
	wg.Wait()
	return replies, nil
}

// scheme returns the scheme of a URL with its separator, http:// if there is none.
func scheme(u string) string {
	p, err := url.Parse(u)
	if err != nil || p.Scheme == "" {
		return "http://"
	}
	return p.Scheme + "://"
}

// reportUnanswered prints the errors of entries that did not answer and returns an error that lists them, nil
// if all did.
func reportUnanswered[T any](a *app, replies []reply[T]) error {
	var unanswered []string
	for _, r := range replies {
		if r.err != nil {
			fmt.Fprintf(a.err, "%s: %v\n", r.name, r.err)
			unanswered = append(unanswered, r.name)
		}
	}
	if len(unanswered) == 0 {
		return nil
	}
	return &exitError{exitPartial, fmt.Errorf("no answer from %s; the versions in force there are not known", strings.Join(unanswered, ", "))}
}
