package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// call is one attempt of a client.
type call struct {
	id, method, path, entry, key string
	sent, ended                  time.Time
	status                       int
	// runner is the runner whose answer came.
	runner     string
	retryAfter string
	err        error
}

func (c call) result() string {
	if c.err != nil {
		return c.err.Error()
	}
	s := fmt.Sprintf("status %d", c.status)
	if c.runner != "" {
		s += " of runner " + c.runner
	}
	if c.retryAfter != "" {
		s += ", Retry-After " + c.retryAfter
	}
	return s
}

var calls atomic.Int64

const host = "ficu95.example"

// send sends one request on a new channel and records its answer.
func send(rec *record, entry, method, path, key string) call {
	c := call{id: fmt.Sprintf("%08x%08x", calls.Add(1), rand.Uint32()), method: method, path: path, entry: entry, key: key, sent: time.Now()}
	defer func() {
		c.ended = time.Now()
		rec.called(c)
	}()
	client := http.Client{Timeout: 1500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	var b io.Reader
	if method == http.MethodPost {
		b = strings.NewReader(strings.Repeat("letter ", 80))
	}
	r, err := http.NewRequest(method, "http://"+entry+path, b)
	if err != nil {
		c.err = err
		return c
	}
	r.Host = host
	r.Header["X-Request-Id"] = []string{c.id}
	r.Header["X-Request-Timeout-Ms"] = []string{"1500"}
	if key != "" {
		r.Header["Api-Key"] = []string{key}
	}
	w, err := client.Do(r)
	if err != nil {
		c.err = err
		return c
	}
	defer w.Body.Close()
	text, err := io.ReadAll(w.Body)
	if err != nil {
		c.err = fmt.Errorf("status %d and then: %w", w.StatusCode, err)
		return c
	}
	c.status, c.retryAfter = w.StatusCode, w.Header.Get("Retry-After")
	if sig := w.Header.Get("X-Response-Signature"); sig != "" {
		c.runner, _, _ = strings.Cut(strings.TrimPrefix(sig, "sig."), ".")
		if w.StatusCode == http.StatusOK && string(text) != body(c.runner, c.id) {
			c.err = fmt.Errorf("body of %d bytes is not that of runner %s", len(text), c.runner)
		}
	}
	return c
}

// traffic sends requests at random times at a mean rate, each to a random one of the entries, until stop is closed.
func traffic(rec *record, perSecond float64, entries []string, next func() (method, path, key string), stop <-chan struct{}) *sync.WaitGroup {
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second))):
			}
			method, path, key := next()
			entry := entries[rand.IntN(len(entries))]
			wg.Go(func() { send(rec, entry, method, path, key) })
		}
	})
	return &wg
}
