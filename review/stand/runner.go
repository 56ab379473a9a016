package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Model of the deployment: few layers, so that a path has two or three runners.
const (
	layers      = 8
	layerSizeMB = 1750
	cardSizeMB  = 10500
	cardName    = "t4"
)

// arrival is one request that reached a runner.
type arrival struct {
	id, runner, service, path string
	at                        time.Time
	ran                       bool
	poison                    bool
}

// runner is one runner: of a plain service, or one that holds layers.
type runner struct {
	w                          *world
	id, service, address, zone string
	// work is the time of a plain call, and pause the time between two events.
	work, pause time.Duration
	events      int

	mu         sync.Mutex
	server     *http.Server
	up         bool
	state      string
	born       int64
	sequence   int
	from, to   int
	orders     int
	running    int
	active     map[string]*work
	lastUpdate time.Time
}

// poison is the prompt part on which runners crash; it is empty if there is none. It crashes the first runner of a path,
// which holds the client's answer, or with poisonLast the last one, which returns the tokens.
var (
	poison     string
	poisonLast bool
)

// outage is how long a crashed runner is away.
const outage = 3 * time.Second

// addRunner starts a runner and registers it.
func (w *world) addRunner(id, service string, change func(*runner)) (*runner, error) {
	r := &runner{w: w, id: id, active: map[string]*work{}, service: service, zone: zoneName, state: "ready", work: 15 * time.Millisecond, pause: 20 * time.Millisecond, events: 20}
	if change != nil {
		change(r)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r.address = l.Addr().String()
	w.mu.Lock()
	w.runners[r.address] = r
	w.mu.Unlock()
	r.begin(l)
	stop := make(chan struct{})
	go r.beat(stop)
	w.closers = append(w.closers, func() {
		close(stop)
		r.end()
	})
	return r, nil
}

// begin starts a boot of the runner, which holds nothing.
func (r *runner) begin(l net.Listener) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.server = &http.Server{Handler: r}
	r.up, r.born, r.sequence, r.from, r.to, r.orders = true, time.Now().UnixMilli(), 0, 0, 0, 0
	go func(s *http.Server) { _ = s.Serve(l) }(r.server)
	r.publish()
}

func (r *runner) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.up = false
	_ = r.server.Close()
}

// crash ends the boot with all its channels, and starts the next one after the outage. The request that is the cause is
// empty if there is none.
func (r *runner) crash(id string) {
	r.mu.Lock()
	if !r.up {
		r.mu.Unlock()
		return
	}
	r.up = false
	s := r.server
	r.mu.Unlock()
	if id != "" {
		r.w.record.printf("runner %s crashes on request %s", r.id, id)
		r.w.noteCrash()
	} else {
		r.w.record.printf("runner %s crashes, for a cause of its own", r.id)
	}
	_ = s.Close()
	time.AfterFunc(outage, func() {
		if l, err := net.Listen("tcp", r.address); err == nil {
			r.begin(l)
			r.w.record.printf("runner %s is back, empty", r.id)
		}
	})
}

// beat checks in at the store.
func (r *runner) beat(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(heartbeat):
		}
		r.mu.Lock()
		if r.up {
			r.publish()
		} else if r.state == "ready" && time.Since(r.lastUpdate) > 3*heartbeat {
			r.w.store.remove("servers", r.id)
		}
		r.mu.Unlock()
	}
}

// publish writes the entry of the runner; the caller holds mu.
func (r *runner) publish() {
	r.sequence++
	r.lastUpdate = time.Now()
	v := map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": 1, "slots": 6, "state": r.state, "coldLeftMs": 0, "sequence": r.sequence, "born": r.born,
	}
	if r.service == modelService {
		v["slots"], v["kind"], v["stage"] = 192, cardName, "both"
		v["models"] = []any{map[string]any{"name": "m0", "version": 1, "adapters": []any{}}}
		v["layers"] = map[string]any{"from": r.from, "target": r.to, "version": 1}
	}
	r.w.store.write("servers", r.id, v)
}

// drain reports that the runner is leaving.
func (r *runner) drain() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = "draining"
	r.publish()
	r.w.record.printf("runner %s is draining: acknowledged by the store", r.id)
	return time.Now()
}

// leave ends a runner that has drained.
func (r *runner) leave() {
	r.end()
	r.w.store.remove("servers", r.id)
}

func (r *runner) holds(from, to int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.up && r.from <= from && to <= r.to
}

// ServeHTTP serves requests, reports and orders.
func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("X-Request-Id")
	if id != "" {
		w.Header().Set("X-Request-Id", id)
	}
	if want := q.Header.Get("X-Expected-Instance"); want != "" && want != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch q.URL.Path {
	case "/api/report":
		r.report(w)
		return
	case "/api/order":
		r.order(w, q)
		return
	case "/health":
		w.Header().Set("X-Instance-Id", r.id)
		return
	}
	_, _ = io.Copy(io.Discard, q.Body)
	if id == "" {
		refuse(w, http.StatusBadRequest, "")
		return
	}
	a := arrival{id: id, runner: r.id, service: r.service, path: q.URL.Path, at: time.Now(), poison: hasPart(q.Header.Get("X-Prefix-Hash"), poison)}
	status, at := r.admit(q)
	a.ran = status == 0
	r.w.note(a)
	if status != 0 {
		refuse(w, status, at)
		return
	}
	r.count(1)
	defer r.count(-1)
	if r.service == modelService {
		r.stream(w, q, a)
		return
	}
	r.plain(w, q, id)
}

func refuse(w http.ResponseWriter, status int, at string) {
	w.Header().Set("X-Not-Executed", "1")
	if at != "" {
		w.Header().Set("At-Server", at)
	}
	w.WriteHeader(status)
}

func (r *runner) count(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running += n
}

// admit checks the path of a request; a status other than 0 refuses it.
func (r *runner) admit(q *http.Request) (status int, at string) {
	if r.service != modelService {
		return 0, ""
	}
	return r.checkPath(r.pathOf(q))
}

// pathOf returns the path of a request; without one this runner alone serves it.
func (r *runner) pathOf(q *http.Request) string {
	if path := q.Header.Get("X-Hop-Count"); path != "" {
		return path
	}
	return fmt.Sprintf("%s=0-%d", r.address, layers)
}

// checkPath compares a path with the layers that its runners hold; a status other than 0 refuses it.
func (r *runner) checkPath(hops string) (status int, at string) {
	for i, hop := range strings.Split(hops, ",") {
		address, part, _ := strings.Cut(hop, "=")
		var from, to int
		if _, err := fmt.Sscanf(part, "%d-%d", &from, &to); err != nil || (i == 0 && address != r.address) {
			return http.StatusBadRequest, ""
		}
		r.w.mu.Lock()
		o := r.w.runners[address]
		r.w.mu.Unlock()
		switch {
		case o == nil || !o.isUp():
			return http.StatusServiceUnavailable, address
		case !o.holds(from, to):
			return http.StatusMisdirectedRequest, address
		}
	}
	return 0, ""
}

func (r *runner) isUp() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.up
}

func (r *runner) plain(w http.ResponseWriter, q *http.Request, id string) {
	select {
	case <-time.After(r.work):
	case <-q.Context().Done():
		r.w.record.printf("runner %s drops request %s: its channel was closed", r.id, id)
		return
	}
	w.Header().Set("X-Response-Signature", "signed."+id)
	_, _ = io.WriteString(w, "answer to "+id+"\n")
}

// readTime is the time in which a prompt is read.
const readTime = 30 * time.Millisecond

// setStream sets how many events a stream has and the time between two.
func (r *runner) setStream(events int, pause time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events, r.pause = events, pause
}

// stall is how long work waits for a dead runner.
const stall = 2 * time.Second

// work is a request that runs at its first runner.
type work struct {
	mu   sync.Mutex
	path string
}

func (n *work) hops() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []string
	for _, hop := range strings.Split(n.path, ",") {
		address, _, _ := strings.Cut(hop, "=")
		out = append(out, address)
	}
	return out
}

// dead returns the address of a runner of the path that is down, or an empty one.
func (r *runner) dead(n *work) string {
	for _, address := range n.hops() {
		r.w.mu.Lock()
		o := r.w.runners[address]
		r.w.mu.Unlock()
		if o == nil || !o.isUp() {
			return address
		}
	}
	return ""
}

// crashOn crashes the runner that begins to write the answer.
func (r *runner) crashOn(n *work, id string) {
	if !poisonLast {
		r.crash(id)
		panic(http.ErrAbortHandler)
	}
	hops := n.hops()
	r.w.mu.Lock()
	last := r.w.runners[hops[len(hops)-1]]
	r.w.mu.Unlock()
	last.crash(id)
}

// awaitPath waits while a runner of the path is down. It returns the address of that runner if the request is not moved
// within the time for which work stalls.
func (r *runner) awaitPath(q *http.Request, n *work) string {
	since := time.Now()
	for at := r.dead(n); at != ""; at = r.dead(n) {
		if time.Since(since) > stall {
			return at
		}
		select {
		case <-time.After(10 * time.Millisecond):
		case <-q.Context().Done():
			return ""
		}
	}
	return ""
}

func (r *runner) stream(w http.ResponseWriter, q *http.Request, a arrival) {
	flush := http.NewResponseController(w)
	r.mu.Lock()
	events, next := r.events, r.pause
	r.mu.Unlock()
	pause := readTime
	n := &work{path: r.pathOf(q)}
	r.mu.Lock()
	r.active[a.id] = n
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.active, a.id)
		r.mu.Unlock()
	}()
	if !a.poison && r.w.failing.CompareAndSwap(true, false) {
		time.Sleep(pause / 2)
		r.crash("")
		panic(http.ErrAbortHandler)
	}
	for i := 1; i <= events; i++ {
		select {
		case <-time.After(pause):
		case <-q.Context().Done():
			return
		}
		pause = next
		if a.poison {
			r.crashOn(n, a.id)
		}
		switch at := r.awaitPath(q, n); {
		case at != "" && i == 1:
			refuse(w, http.StatusServiceUnavailable, at)
			return
		case at != "":
			panic(http.ErrAbortHandler)
		case q.Context().Err() != nil:
			return
		case a.poison:
			// It was moved to another path, which reads the prompt first.
			i--
			pause = readTime
			continue
		}
		if i == 1 {
			w.Header().Set("X-Response-Signature", "signed."+a.id)
			w.Header().Set("Content-Type", "text/event-stream")
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", i, a.id, i)
		_ = flush.Flush()
	}
}

func (r *runner) report(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	capacity := (cardSizeMB - (r.to-r.from)*layerSizeMB) * 1000
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "both", "models": []any{map[string]any{"name": "m0", "version": 1, "adapters": []any{}}}, "busy": false, "sequence": r.orders, "queued": 0, "running": r.running,
		"kvUsedTokens": r.running * 80 * (r.to - r.from), "kvCapacity": capacity, "handles": 0, "pace": 1.0, "kind": cardName, "born": r.born,
		"layers": map[string]any{"from": r.from, "target": r.to, "version": 1},
	})
}

// order carries out a place order, or one that moves a request to another path, at once.
func (r *runner) order(w http.ResponseWriter, q *http.Request) {
	var o struct {
		Operation    string
		ID, Path     string
		From, Target int
		Expected     *int
	}
	if json.NewDecoder(q.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	switch o.Operation {
	case "repath":
		r.repath(w, o.ID, o.Path)
		return
	case "place":
	default:
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if o.Expected != nil && *o.Expected != r.orders {
		w.WriteHeader(http.StatusConflict)
		return
	}
	r.from, r.to = o.From, o.Target
	r.orders++
	r.w.record.printf("runner %s is ordered to hold layers %d to %d", r.id, r.from, r.to)
	r.publish()
	w.WriteHeader(http.StatusAccepted)
}

// repath moves a request that this runner was the first to receive to another path.
func (r *runner) repath(w http.ResponseWriter, id, path string) {
	r.mu.Lock()
	n := r.active[id]
	r.mu.Unlock()
	if n == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if _, at := r.checkPath(path); at != "" {
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(map[string]string{"error": "a part is not there", "address": at})
		return
	}
	n.mu.Lock()
	n.path = path
	n.mu.Unlock()
	r.w.record.printf("request %s is moved to %s", id, path)
	w.WriteHeader(http.StatusAccepted)
}

func hasPart(list, part string) bool {
	if part == "" {
		return false
	}
	for _, p := range strings.Split(list, ",") {
		if name, _, _ := strings.Cut(p, ":"); name == part {
			return true
		}
	}
	return false
}

// note records an arrival.
func (w *world) note(a arrival) {
	w.mu.Lock()
	w.runs = append(w.runs, a)
	w.mu.Unlock()
	what := "runs"
	if !a.ran {
		what = "refuses"
	}
	w.record.printf("runner %s (%s) %s request %s %s", a.runner, a.service, what, a.id, a.path)
}

// ranAt returns the runs of a request.
func (w *world) ranAt(id string) []arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []arrival
	for _, a := range w.runs {
		if a.id == id && a.ran {
			out = append(out, a)
		}
	}
	return out
}
