package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	modelLayers = 16
	// outage is how long an engine that crashed is down, and silence the time after which its entry is removed.
	outage  = 3 * time.Second
	silence = 3 * heartbeat
	// loadTime is how long an engine takes for an order.
	loadTime = 300 * time.Millisecond
	readTime = 40 * time.Millisecond
	// stallTime is the stall_ms of the settings.
	stallTime = 2 * time.Second
	stepTime  = 20 * time.Millisecond
	events    = 20
)

// fleet is all engines by address.
type fleet struct {
	rec   *record
	store *store
	// deadly is the part of a prompt that crashes each engine that begins to write an answer on it.
	deadly string
	// dark is set if an engine that crashes is silent while it is down: its channels stay open, and it accepts no others.
	dark bool
	// last is set if the part crashes the last runner of a path, which returns the tokens, and not the first.
	last bool

	mu      sync.Mutex
	engines map[string]*engine
	crashes []time.Time
	// begun holds the requests of which a token was written.
	begun map[string]bool
	boots int
}

// engine is a sound runner of a model service. Each start is a boot with a new id.
type engine struct {
	fleet                  *fleet
	service, address, zone string

	mu         sync.Mutex
	id         string
	born       time.Time
	up, busy   bool
	from, to   int
	orders     int
	registered int
	running    int
	server     *http.Server
	listener   net.Listener
	stopped    chan struct{}
	// jobs are the requests that it runs as the first runner, by their ids.
	jobs map[string]*job
}

// hop is a part of a path: an engine, as of one boot.
type hop struct {
	engine *engine
	boot   string
}

// works reports whether the engine is up and has not been started again.
func (h hop) works() bool {
	h.engine.mu.Lock()
	defer h.engine.mu.Unlock()
	return h.engine.up && h.engine.id == h.boot
}

// job is a request in progress.
type job struct {
	mu    sync.Mutex
	hops  []hop
	moves int
}

// path returns the job's hops and the number of its moves.
func (j *job) path() ([]hop, int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.hops, j.moves
}

// dead returns the address of a hop that doesn't work, or an empty string.
func (j *job) dead() string {
	hops, _ := j.path()
	for _, h := range hops {
		if !h.works() {
			return h.engine.address
		}
	}
	return ""
}

// stall waits until all hops work, since the job was moved, or reports false after stall_ms.
func (j *job) stall() bool {
	for end := time.Now().Add(stallTime); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if j.dead() == "" {
			return true
		}
	}
	return false
}

func (f *fleet) start(ip, service, zone string) error {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return err
	}
	e := &engine{fleet: f, service: service, address: l.Addr().String(), zone: zone, stopped: make(chan struct{}), jobs: map[string]*job{}}
	f.mu.Lock()
	f.engines[e.address] = e
	f.mu.Unlock()
	e.boot(l)
	go func() {
		for {
			select {
			case <-e.stopped:
				return
			case <-time.After(heartbeat):
				e.checkIn()
			}
		}
	}()
	return nil
}

func (f *fleet) stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.engines {
		close(e.stopped)
		e.mu.Lock()
		_ = e.server.Close()
		e.mu.Unlock()
	}
}

// boot starts the engine empty.
func (e *engine) boot(l net.Listener) {
	e.fleet.mu.Lock()
	e.fleet.boots++
	id := fmt.Sprintf("i-e%02d", e.fleet.boots)
	e.fleet.mu.Unlock()
	s := &http.Server{Handler: e}
	e.mu.Lock()
	e.id, e.born, e.up, e.busy, e.from, e.to, e.orders, e.server, e.listener = id, time.Now(), true, false, 0, 0, 0, s, l
	e.mu.Unlock()
	go func() { _ = s.Serve(l) }()
	e.checkIn()
}

// crash ends the engine with all its channels; it is back after the outage.
func (e *engine) crash(request string) {
	e.mu.Lock()
	if !e.up {
		e.mu.Unlock()
		return
	}
	e.up = false
	id, s := e.id, e.server
	e.mu.Unlock()
	lighten := func() {}
	if e.fleet.dark {
		lighten = e.darken(s)
	} else {
		_ = s.Close()
	}
	e.fleet.mu.Lock()
	e.fleet.crashes = append(e.fleet.crashes, time.Now())
	n := len(e.fleet.crashes)
	e.fleet.mu.Unlock()
	e.fleet.rec.line("engine %s crashes as it begins to write on request %s: crash %d", id, request, n)
	time.AfterFunc(silence, func() { _ = e.fleet.store.remove("servers", id, 0) })
	time.AfterFunc(outage, func() {
		select {
		case <-e.stopped:
			return
		default:
		}
		lighten()
		for range 50 {
			if l, err := net.Listen("tcp", e.address); err == nil {
				e.boot(l)
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
}

func (e *engine) checkIn() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.up {
		return
	}
	e.registered++
	b, _ := json.Marshal(map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": 192, "state": "ready", "coldLeftMs": 0, "stage": "both",
		"models": []any{map[string]any{"name": "daka510000", "version": 1, "adapters": []any{}}}, "kind": "t4",
		"layers": map[string]int{"from": e.from, "target": e.to, "version": 1}, "born": e.born.UnixMilli(),
	})
	_, _ = e.fleet.store.put("servers", e.id, nil, b)
}

func (e *engine) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("X-Request-Id")
	if id != "" {
		w.Header()["X-Request-Id"] = []string{id}
	}
	e.mu.Lock()
	self := e.id
	e.mu.Unlock()
	if want := q.Header.Get("X-Expected-Instance"); want != "" && want != self {
		w.Header().Set("X-Instance-Id", self)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch q.URL.Path {
	case "/health":
		w.Header().Set("X-Instance-Id", self)
		_, _ = w.Write([]byte("ok"))
	case "/api/report":
		e.report(w)
	case "/api/order":
		e.order(w, q)
	default:
		e.request(w, q, self, id)
	}
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	v := map[string]any{
		"stage": "both", "models": []any{map[string]any{"name": "daka510000", "version": 1, "adapters": []any{}}}, "busy": e.busy, "sequence": e.orders,
		"queued": 0, "running": e.running, "kvUsedTokens": e.running * 200 * (e.to - e.from), "kvCapacity": 100000 * (e.to - e.from), "handles": 0,
		"layers": map[string]int{"from": e.from, "target": e.to, "version": 1}, "kind": "t4", "pace": 1.0, "born": e.born.UnixMilli(), "stalled": []any{},
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, v)
}

func (e *engine) order(w http.ResponseWriter, q *http.Request) {
	var o struct {
		Operation    string
		From, Target *int
		Expected     *int
		ID, Path     string
	}
	err := json.NewDecoder(q.Body).Decode(&o)
	if err == nil && o.Operation == "repath" {
		e.repath(w, o.ID, o.Path)
		return
	}
	if err != nil || o.Operation != "place" || o.From == nil || o.Target == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.from == *o.From && e.to == *o.Target && !e.busy:
		w.WriteHeader(http.StatusOK)
		return
	case e.busy || (o.Expected != nil && *o.Expected != e.orders):
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.busy = true
	e.orders++
	born, from, to := e.born, *o.From, *o.Target
	time.AfterFunc(loadTime, func() {
		e.mu.Lock()
		same := e.up && e.born.Equal(born)
		if same {
			e.busy, e.from, e.to = false, from, to
		}
		e.mu.Unlock()
		if same {
			e.checkIn()
		}
	})
	w.WriteHeader(http.StatusAccepted)
}

// repath moves a request in progress to another path.
func (e *engine) repath(w http.ResponseWriter, id, path string) {
	e.mu.Lock()
	j := e.jobs[id]
	e.mu.Unlock()
	if j == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	hops, status, fault := e.hops(path)
	if status != 0 {
		writeJSON(w, http.StatusConflict, map[string]string{"error": "a part is not there", "address": fault})
		return
	}
	j.mu.Lock()
	j.hops = hops
	j.moves++
	j.mu.Unlock()
	w.WriteHeader(http.StatusOK)
}

// hops returns the engines of a path, or a status and the address of the engine at fault.
func (e *engine) hops(path string) (list []hop, status int, fault string) {
	if path == "" {
		path = fmt.Sprintf("%s=0-%d", e.address, modelLayers)
	}
	for i, part := range strings.Split(path, ",") {
		address, layers, _ := strings.Cut(part, "=")
		var from, to int
		if _, err := fmt.Sscanf(layers, "%d-%d", &from, &to); err != nil || (i == 0 && address != e.address) {
			return nil, http.StatusBadRequest, ""
		}
		e.fleet.mu.Lock()
		o := e.fleet.engines[address]
		e.fleet.mu.Unlock()
		if o == nil {
			return nil, http.StatusServiceUnavailable, address
		}
		o.mu.Lock()
		h, up, holds := hop{o, o.id}, o.up, o.from <= from && to <= o.to
		o.mu.Unlock()
		switch {
		case !up:
			return nil, http.StatusServiceUnavailable, address
		case !holds:
			return nil, http.StatusMisdirectedRequest, address
		}
		list = append(list, h)
	}
	return list, 0, ""
}

// refuse records a request that is not run and answers so.
func (e *engine) refuse(w http.ResponseWriter, a arrival, status int, fault string) {
	a.refused, a.status = true, status
	e.fleet.rec.arrived(a)
	e.turnAway(w, status, fault)
}

// turnAway answers that a request was not run.
func (e *engine) turnAway(w http.ResponseWriter, status int, fault string) {
	w.Header().Set("X-Not-Executed", "1")
	if fault != "" {
		w.Header().Set("At-Server", fault)
	}
	w.WriteHeader(status)
}

// begins records the first token of a request.
func (f *fleet) begins(id, runner string) {
	f.mu.Lock()
	f.begun[id] = true
	f.mu.Unlock()
	f.rec.line("request %s begins at runner %s", id, runner)
}

// isDeadly reports whether a prompt holds the deadly part, other than as its last one.
func (f *fleet) isDeadly(parts []string) bool {
	for _, p := range parts[:len(parts)-1] {
		if part, _, _ := strings.Cut(p, ":"); f.deadly != "" && part == f.deadly {
			return true
		}
	}
	return false
}

func (e *engine) request(w http.ResponseWriter, q *http.Request, self, id string) {
	deadly := e.fleet.isDeadly(strings.Split(q.Header.Get("X-Prefix-Hash"), ","))
	a := arrival{id: id, runner: self, service: e.service, tenant: q.Header.Get("X-Tenant"), at: time.Now()}
	hops, status, fault := e.hops(q.Header.Get("X-Hop-Count"))
	if status != 0 {
		e.refuse(w, a, status, fault)
		return
	}
	a.status = http.StatusOK
	e.fleet.rec.arrived(a)
	j := &job{hops: hops}
	e.mu.Lock()
	e.running++
	e.jobs[id] = j
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.running--
		delete(e.jobs, id)
		e.mu.Unlock()
	}()
	flush := http.NewResponseController(w)
	after, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	pause, moved := readTime, 0
	for i := after + 1; i <= events; i++ {
		select {
		case <-time.After(pause):
		case <-q.Context().Done():
			return
		}
		pause = stepTime
		first := i == after+1
		if first && deadly {
			list, _ := j.path()
			victim := e
			if e.fleet.last {
				victim = list[len(list)-1].engine
			}
			victim.crash(id)
			if victim == e {
				if e.fleet.dark {
					<-q.Context().Done()
				}
				panic(http.ErrAbortHandler)
			}
		}
		if fault := j.dead(); fault != "" && !j.stall() {
			if first {
				e.turnAway(w, http.StatusServiceUnavailable, fault)
				return
			}
			panic(http.ErrAbortHandler)
		}
		if _, moves := j.path(); moves != moved {
			// The new parts read all tokens so far.
			moved, pause = moves, readTime
			i--
			continue
		}
		if first {
			e.fleet.begins(id, self)
			w.Header().Set("X-Response-Signature", signature(self, id))
			w.Header().Set("Content-Type", "text/event-stream")
		}
		fmt.Fprintf(w, "id: %d\ndata: token %d of %s\n\n", i, i, id)
		if flush.Flush() != nil {
			return
		}
	}
}

// darken makes the engine silent: nobody reads its channels, and the queue of new channels is full, so that their opening
// packets are dropped. The function that it returns ends that.
func (e *engine) darken(s *http.Server) func() {
	e.mu.Lock()
	l := e.listener
	e.mu.Unlock()
	_ = l.Close()
	fill := func() {}
	if fd, err := listenFull(e.address); err == nil {
		var held []net.Conn
		for range 3 {
			if c, err := net.DialTimeout("tcp", e.address, 50*time.Millisecond); err == nil {
				held = append(held, c)
			}
		}
		fill = func() {
			for _, c := range held {
				_ = c.Close()
			}
			_ = syscall.Close(fd)
		}
	} else {
		e.fleet.rec.line("engine at %s could not fall silent: %s", e.address, err)
	}
	return func() {
		fill()
		_ = s.Close()
	}
}

// listenFull listens with the shortest queue, from which nothing is taken.
func listenFull(address string) (int, error) {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return 0, err
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, err
	}
	_ = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(a.Port()), Addr: a.Addr().As4()}); err != nil {
		return 0, err
	}
	return fd, syscall.Listen(fd, 0)
}
