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

// urls are the entries' URLs from the flags.
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

// first calls the entries in turn until one answers.
func first[T any](a *app, call func(*ferryadmin.Client) (T, error)) (T, error) {
	v, _, err := firstOf(a, call)
	return v, err
}

// firstOf is first, and also returns the URL of the entry that answered.
func firstOf[T any](a *app, call func(*ferryadmin.Client) (T, error)) (T, string, error) {
	var zero T
	var errs []error
	for _, u := range a.urls() {
		v, err := call(ferryadmin.NewClient(u, a.Token, a.keys))
		if !errors.As(err, new(*ferryadmin.UnreachableError)) {
			return v, u, err
		}
		errs = append(errs, err)
	}
	if len(errs) == 0 {
		return zero, "", errors.New("no --entry given")
	}
	return zero, "", errors.Join(errs...)
}

// reply is one entry's answer.
type reply[T any] struct {
	name  string
	value T
	err   error
}

// all asks one entry for the list of entries, and then calls each of them.
func all[T any](a *app, call func(*ferryadmin.Client) (T, error)) ([]reply[T], error) {
	st, from, err := firstOf(a, func(c *ferryadmin.Client) (ferryadmin.Status, error) { return c.Status(a.ctx) })
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
			v, err := call(ferryadmin.NewClient(urls[name], a.Token, a.keys))
			replies[i] = reply[T]{name, v, err}
		})
	}
	wg.Wait()
	return replies, nil
}

// scheme is the part of a URL before the host.
func scheme(u string) string {
	p, err := url.Parse(u)
	if err != nil || p.Scheme == "" {
		return "http://"
	}
	return p.Scheme + "://"
}

// partial says which entries did not answer, and is nil if all did.
func partial[T any](a *app, replies []reply[T]) error {
	var silent []string
	for _, r := range replies {
		if r.err != nil {
			fmt.Fprintf(a.err, "%s: %v\n", r.name, r.err)
			silent = append(silent, r.name)
		}
	}
	if len(silent) == 0 {
		return nil
	}
	return &exitError{exitPartial, fmt.Errorf("no answer from %s; what they have in force is not known", strings.Join(silent, ", "))}
}
