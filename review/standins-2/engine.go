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
	stepTime = 20 * time.Millisecond
	events   = 20
)

// fleet is all engines by address.
type fleet struct {
	rec   *record
	store *store
	// deadly is the part of a prompt that crashes each engine that begins to write an answer on it.
	deadly string
	// dark is set if an engine that crashes is silent while it is down: its channels stay open, and it accepts no others.
	dark bool

	mu      sync.Mutex
	engines map[string]*engine
	crashes []time.Time
	boots   int
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
}

func (f *fleet) start(ip, service, zone string) error {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return err
	}
	e := &engine{fleet: f, service: service, address: l.Addr().String(), zone: zone, stopped: make(chan struct{})}
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
		Path         string
	}
	if err := json.NewDecoder(q.Body).Decode(&o); err != nil || o.Operation != "place" || o.From == nil || o.Target == nil {
		w.WriteHeader(http.StatusNotFound) // no request is moved here
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

// hops returns the other engines of a path, or the address of the one at fault with a status.
func (e *engine) hops(path string) (others []*engine, status int, fault string) {
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
		up, holds := o.up, o.from <= from && to <= o.to
		o.mu.Unlock()
		switch {
		case !up:
			return nil, http.StatusServiceUnavailable, address
		case !holds:
			return nil, http.StatusMisdirectedRequest, address
		}
		if o != e {
			others = append(others, o)
		}
	}
	return others, 0, ""
}

func (e *engine) request(w http.ResponseWriter, q *http.Request, self, id string) {
	parts := strings.Split(q.Header.Get("X-Prefix-Hash"), ",")
	a := arrival{id: id, runner: self, service: e.service, tenant: q.Header.Get("X-Tenant"), at: time.Now()}
	others, status, fault := e.hops(q.Header.Get("X-Hop-Count"))
	if status != 0 {
		a.refused, a.status = true, status
		e.fleet.rec.arrived(a)
		w.Header().Set("X-Not-Executed", "1")
		if fault != "" {
			w.Header().Set("At-Server", fault)
		}
		w.WriteHeader(status)
		return
	}
	e.mu.Lock()
	e.running++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	a.ran, a.status = true, http.StatusOK
	e.fleet.rec.arrived(a)
	w.Header().Set("X-Response-Signature", signature(self, id))
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	after, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	pause := readTime
	for i := after + 1; i <= events; i++ {
		select {
		case <-time.After(pause):
		case <-q.Context().Done():
			return
		}
		pause = stepTime
		if e.fleet.deadly != "" && i == after+1 {
			for _, p := range parts[:len(parts)-1] {
				if part, _, _ := strings.Cut(p, ":"); part == e.fleet.deadly {
					e.crash(id)
					if e.fleet.dark {
						<-q.Context().Done()
					}
					panic(http.ErrAbortHandler)
				}
			}
		}
		for _, o := range others {
			o.mu.Lock()
			up := o.up
			o.mu.Unlock()
			if !up {
				time.Sleep(2 * time.Second) // stall_ms, and then the work is cut off
				panic(http.ErrAbortHandler)
			}
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
