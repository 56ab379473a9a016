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
	cases["dark"] = func(r *run) (verdict, error) { return part(r, true, false) }
	cases["last"] = func(r *run) (verdict, error) { return part(r, false, true) }
	// For comparison: the first runners crash with their channels closed.
	cases["not-dark"] = func(r *run) (verdict, error) { return part(r, false, false) }
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

// part has requests come that hold a part on which the first or the last engine of a path crashes. If dark is set, an engine that has
// crashed is silent until it is back.
func part(r *run, dark, last bool) (verdict, error) {
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
	f := &fleet{rec: r.rec, store: r.store, dark: dark, last: last, engines: map[string]*engine{}, begun: map[string]bool{}}
	r.cleanup = append(r.cleanup, f.stop)
	if r.trouble {
		f.deadly = deadlyPart
	}
	for i := range 15 {
		if err := f.start(network+".200", "scribe-pool", zones[i%3]); err != nil {
			return verdict{}, err
		}
	}
	if err := awaitReady(r.machines); err != nil {
		return verdict{}, err
	}
	time.Sleep(4 * time.Second)
	if !r.awaitStreams(key) {
		return verdict{}, errUnstable
	}
	placed := time.Now()
	stop := make(chan struct{})
	// Sound requests share their tenant and the first part with the others.
	sound := sendStreams(8, stop, func() { stream(r.rec, r.anyFront(), key, []string{commonPart, randomPart()}) })
	time.Sleep(6 * time.Second)
	if n, begun := f.sound(nil, placed, time.Now().Add(-time.Second)); n < 20 || 10*begun < 9*n {
		return verdict{}, errUnstable
	}
	from := time.Now()
	r.rec.line("requests with the deadly part begin")
	var bad sync.Map
	perSecond := 1.0
	if last {
		perSecond = 2
	}
	deadly := sendStreams(perSecond, stop, func() {
		list := []string{commonPart}
		for range 5 {
			list = append(list, randomPart())
		}
		c := stream(r.rec, r.anyFront(), key, append(list, deadlyPart, randomPart()))
		bad.Store(c.id, true)
	})
	time.Sleep(35 * time.Second)
	ended := time.Now()
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
	before, begunBefore := f.sound(&bad, placed, from.Add(-time.Second))
	after, begunAfter := 0, 0
	if n := min(len(crashes), 5); n > 0 {
		after, begunAfter = f.sound(&bad, crashes[n-1].Add(2*stable), ended)
	}
	lost := after >= 20 && before >= 20 && 2*begunAfter*before < begunBefore*after
	v := verdict{late > 3, fmt.Sprintf("%d crashes. BUDGET: %d requests with the deadly part reached runners later than stableWindowMs after the fifth crash (bound 3). LOST: %d of %d sound requests began before the crashes, %d of %d from 2 x stableWindowMs after the fifth or last crash on (bound: half the share)",
		len(crashes), late, begunBefore, before, begunAfter, after)}
	if last {
		v.broken = lost
	}
	return v, nil
}

// sound returns the number of requests sent in a time, without the given ones, and of those that began.
func (f *fleet) sound(without *sync.Map, from, to time.Time) (n, begun int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.rec.allCalls() {
		if without != nil {
			if _, ok := without.Load(c.id); ok {
				continue
			}
		}
		if !c.sent.After(from) || c.sent.After(to) {
			continue
		}
		n++
		if f.begun[c.id] {
			begun++
		}
	}
	return n, begun
}

// awaitStreams waits until the layers are placed, so that streams are served one after the other.
func (r *run) awaitStreams(key string) bool {
	served := 0
	for end := time.Now().Add(20 * time.Second); served < 10 && time.Now().Before(end); {
		if stream(r.rec, r.anyFront(), key, []string{commonPart, randomPart()}).status == http.StatusOK {
			served++
			continue
		}
		served = 0
		time.Sleep(200 * time.Millisecond)
	}
	return served >= 10
}

func (r *run) anyFront() string {
	list := r.fronts()
	return list[rand.IntN(len(list))]
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
