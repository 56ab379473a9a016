package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// heartbeat is the interval at which a runner writes to the store.
	heartbeat = 1200 * time.Millisecond
	slots     = 6
)

func contextWithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// arrival is a request that reached a runner.
type arrival struct {
	id, runner, service, tenant string
	at                          time.Time
	// ran is set once the runner began to work on it.
	ran, refused bool
	status       int
}

// runner is a sound runner of a plain service.
type runner struct {
	id, service, address, zone string
	born                       time.Time
	cold                       time.Duration
	work                       time.Duration
	rec                        *record
	store                      *store
	server                     *http.Server
	running                    atomic.Int64

	mu       sync.Mutex
	state    string
	sequence int
	// leaving is set once the runner says in its answers that it leaves. removed is set once it has taken its entry away.
	leaving, removed bool
	// refuseUntil is when the runner wants requests again.
	refuseUntil time.Time
	refuseFor   time.Duration
	stopped     chan struct{}
}

func startRunner(rec *record, st *store, ip, id, service, zone string, cold time.Duration) (*runner, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	r := &runner{
		id: id, service: service, address: l.Addr().String(), zone: zone, born: time.Now(), cold: cold, work: 15 * time.Millisecond,
		rec: rec, store: st, state: "ready", stopped: make(chan struct{}),
	}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(l) }()
	r.checkIn()
	go func() {
		for {
			select {
			case <-r.stopped:
				return
			case <-time.After(heartbeat):
				r.checkIn()
			}
		}
	}()
	return r, nil
}

// registration returns what the runner's entry says.
func (r *runner) registration() map[string]any {
	left := max(0, r.cold-time.Since(r.born))
	return map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": slots, "state": r.state,
		"coldLeftMs": left.Milliseconds(), "sequence": r.sequence, "born": r.born.UnixMilli(),
	}
}

// checkIn writes the entry if more than its sequence has changed, and returns the object if it was written.
func (r *runner) checkIn() (object, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.removed {
		return object{}, false
	}
	r.sequence++
	now := r.registration()
	if o, ok := r.store.get("servers", r.id); ok {
		var old map[string]any
		if json.Unmarshal(o.Spec, &old) == nil {
			old["sequence"] = now["sequence"]
			a, _ := json.Marshal(old)
			b, _ := json.Marshal(now)
			if string(a) == string(b) {
				return o, true
			}
		}
	}
	b, _ := json.Marshal(now)
	o, err := r.store.put("servers", r.id, nil, b)
	if err != nil {
		return o, false
	}
	r.rec.line("runner %s wrote its entry at revision %d: state %s, coldLeftMs %v", r.id, o.Metadata.Revision, r.state, now["coldLeftMs"])
	return o, true
}

// drain reports that the runner is draining and returns when the store accepted that.
func (r *runner) drain() (time.Time, error) {
	r.mu.Lock()
	r.state, r.leaving = "draining", true
	r.mu.Unlock()
	if _, ok := r.checkIn(); !ok {
		return time.Time{}, errAway
	}
	return time.Now(), nil
}

// leave takes the entry away without a report before, and returns when the store accepted that.
func (r *runner) leave() (time.Time, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving, r.removed = true, true
	if err := r.store.remove("servers", r.id, 0); err != nil {
		return time.Time{}, err
	}
	return time.Now(), nil
}

// exit ends the runner and its channels, and takes its entry away.
func (r *runner) exit() {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.stopped:
		return
	default:
	}
	close(r.stopped)
	_ = r.server.Close()
	if !r.removed {
		r.removed = true
		_ = r.store.remove("servers", r.id, 0)
	}
}

// refuse makes the runner turn requests away, and state once that it wants none for so long.
func (r *runner) refuse(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refuseUntil, r.refuseFor = time.Now().Add(d), d
}

func body(runner, id string) string {
	return strings.Repeat(fmt.Sprintf("answer of %s to %s\n", runner, id), 16)
}

func signature(runner, id string) string { return "sig." + runner + "." + id }

func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("X-Request-Id")
	if id != "" {
		w.Header()["X-Request-Id"] = []string{id}
	}
	r.mu.Lock()
	leaving := r.leaving
	wait := time.Until(r.refuseUntil)
	r.mu.Unlock()
	if leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d", r.running.Load(), slots))
	a := arrival{id: id, runner: r.id, service: r.service, tenant: q.Header.Get("X-Tenant"), at: time.Now()}
	switch want := q.Header.Get("X-Expected-Instance"); {
	case want != "" && want != r.id:
		w.Header().Set("X-Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case q.URL.Path == "/health":
		w.Header().Set("X-Instance-Id", r.id)
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ok"))
		return
	case id == "":
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	case wait > 0:
		a.refused, a.status = true, http.StatusServiceUnavailable
		r.rec.arrived(a)
		w.Header().Set("Retry-After", strconv.Itoa(int(wait.Seconds()+0.999)))
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case r.running.Load() >= slots:
		a.refused, a.status = true, http.StatusServiceUnavailable
		r.rec.arrived(a)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.running.Add(1)
	defer r.running.Add(-1)
	a.ran, a.status = true, http.StatusOK
	r.rec.arrived(a)
	select {
	case <-time.After(r.work):
	case <-q.Context().Done():
		return
	}
	text := body(r.id, id)
	w.Header().Set("X-Response-Signature", signature(r.id, id))
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = w.Write([]byte(text))
}
