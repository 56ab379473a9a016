package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["dark"] = func(r *run) (verdict, error) { return part(r, true) }
	// For comparison: the runners crash with their channels closed.
	cases["not-dark"] = func(r *run) (verdict, error) { return part(r, false) }
}

const (
	commonPart = "5c1e07a2"
	deadlyPart = "91bd3f06"
	stable     = 3 * time.Second
)

func randomPart() string { return fmt.Sprintf("%08x", rand.Uint32()) }

// stream sends one request for a stream with the given parts of its prompt and records its answer.
func stream(rec *record, entry, key string, parts []string) call {
	c := call{id: fmt.Sprintf("%08x%08x", calls.Add(1), rand.Uint32()), method: http.MethodPost, path: "/draft/2f", entry: entry, key: key, sent: time.Now()}
	defer func() {
		c.ended = time.Now()
		rec.called(c)
	}()
	client := http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequest(c.method, "http://"+entry+c.path, strings.NewReader("a letter"))
	if err != nil {
		c.err = err
		return c
	}
	r.Host = host
	tokens := 20 * len(parts)
	var list []string
	for _, p := range parts {
		list = append(list, p+":20")
	}
	for k, v := range map[string]string{
		"X-Request-Id": c.id, "X-Request-Timeout-Ms": "20000", "Api-Key": key, "X-Model": "daka510000", "X-Token-Count": fmt.Sprintf("%d,%d", tokens, 2*events),
		"X-Prefix-Hash": strings.Join(list, ","), "X-Length-Hint": fmt.Sprint(2 * events),
	} {
		r.Header[k] = []string{v}
	}
	w, err := client.Do(r)
	if err != nil {
		c.err = err
		return c
	}
	defer w.Body.Close()
	c.retryAfter = w.Header.Get("Retry-After")
	text, err := io.ReadAll(w.Body)
	if err == nil && w.StatusCode == http.StatusOK && strings.Count(string(text), "\n\n") != events {
		err = fmt.Errorf("%d events", strings.Count(string(text), "\n\n"))
	}
	if err != nil {
		c.err = fmt.Errorf("status %d and then: %w", w.StatusCode, err)
		return c
	}
	c.status = w.StatusCode
	return c
}

// part has requests come that hold a part on which engines crash. If dark is set, an engine that has crashed is silent until it is back.
func part(r *run, dark bool) (verdict, error) {
	key := "n2ctnfzs989anu6wsjnb"
	draft := map[string]any{
		"name": "draft", "host": host, "pathPrefix": "/draft/", "kind": "streaming", "timeoutMs": 20000, "sloMs": 500, "priority": 1, "service": "scribe-pool",
		"maxAttempts": 2, "public": false, "sticky": true, "resumable": true, "targetGapMs": 200,
	}
	model := modelService("scribe-pool", 772, 172)
	spec := model["engine"].(map[string]any)
	spec["layers"] = modelLayers
	if err := r.begin(desired(7, []any{draft}, []any{model}, []any{tenant("hule930", key)})); err != nil {
		return verdict{}, err
	}
	f := &fleet{rec: r.rec, store: r.store, dark: dark, engines: map[string]*engine{}}
	r.cleanup = append(r.cleanup, f.stop)
	if r.trouble {
		f.deadly = deadlyPart
	}
	for i := range 15 {
		if err := f.start(network+".200", "scribe-pool", zones[i%3]); err != nil {
			return verdict{}, err
		}
	}
	if err := awaitReady(r.machines, 15*time.Second); err != nil {
		return verdict{}, err
	}
	time.Sleep(5 * time.Second) // the layers are placed
	stop := make(chan struct{})
	// Sound requests share their tenant and the first part with the others.
	sound := sendStreams(8, stop, func() { stream(r.rec, r.anyFront(), key, []string{commonPart, randomPart()}) })
	time.Sleep(4 * time.Second)
	before := r.soundShare(time.Time{}, time.Now())
	if before < 0.9 {
		return verdict{}, errUnstable
	}
	r.rec.line("requests with the deadly part begin")
	var bad sync.Map
	deadly := sendStreams(0.7, stop, func() {
		list := []string{commonPart}
		for range 5 {
			list = append(list, randomPart())
		}
		c := stream(r.rec, r.anyFront(), key, append(list, deadlyPart, randomPart()))
		bad.Store(c.id, true)
	})
	time.Sleep(35 * time.Second)
	close(stop)
	sound.Wait()
	deadly.Wait()

	f.mu.Lock()
	crashes := append([]time.Time(nil), f.crashes...)
	f.mu.Unlock()
	late := 0
	for _, a := range r.rec.allArrivals() {
		if _, ok := bad.Load(a.id); ok && len(crashes) >= 5 && a.at.After(crashes[4].Add(stable)) {
			late++
		}
	}
	after := 1.0
	if len(crashes) >= 5 {
		after = r.soundShareOf(&bad, crashes[4].Add(2*stable), time.Now())
	}
	return verdict{late > 3, fmt.Sprintf("BUDGET: %d crashes; %d requests with the deadly part reached runners later than stableWindowMs after the fifth crash; of the sound ones %.2f were served before, and %.2f from 2 x stableWindowMs after it on",
		len(crashes), late, before, after)}, nil
}

func (r *run) anyFront() string {
	list := r.fronts()
	return list[rand.IntN(len(list))]
}

// soundShare returns the share of the streams sent in a time that were served.
func (r *run) soundShare(from, to time.Time) float64 { return r.soundShareOf(&sync.Map{}, from, to) }

// soundShareOf is soundShare without the given requests.
func (r *run) soundShareOf(without *sync.Map, from, to time.Time) float64 {
	n, served := 0.0, 0.0
	for _, c := range r.rec.allCalls() {
		if _, ok := without.Load(c.id); ok || !c.sent.After(from) || c.sent.After(to) {
			continue
		}
		n++
		if c.status == http.StatusOK {
			served++
		}
	}
	return served / max(1, n)
}

// sendStreams calls send at random times at a mean rate until stop is closed.
func sendStreams(perSecond float64, stop <-chan struct{}, send func()) *sync.WaitGroup {
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second))):
			}
			wg.Go(send)
		}
	})
	return &wg
}
