package main

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// metadata identifies an object of the store.
type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// object is an object of the store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// storeEvent is one change in the history of the store.
type storeEvent struct {
	kind     string
	revision uint64
	object   object
	removed  bool
}

var (
	errConflict = errors.New("another revision")
	errMissing  = errors.New("no such object")
	errAway     = errors.New("the store is away")
)

// storeCopy is a copy of the store's contents.
type storeCopy struct {
	revision uint64
	objects  map[string]map[string]object
	history  []storeEvent
}

// store is the platform's store, as PROTOCOL.md describes it. Its history is kept whole.
type store struct {
	rec     *record
	address string

	mu       sync.Mutex
	away     bool
	era      int
	revision uint64
	objects  map[string]map[string]object
	history  []storeEvent
	changed  chan struct{}
	// systemWrites counts the successful writes of the system.
	systemWrites int
	server       *http.Server
	conns        map[net.Conn]bool
	// watching holds the connections of waiting watches.
	watching map[net.Conn]bool
}

func newStore(rec *record, ip string) (*store, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &store{
		rec: rec, address: l.Addr().String(), era: 1, revision: 100, objects: map[string]map[string]object{}, changed: make(chan struct{}),
		conns: map[net.Conn]bool{}, watching: map[net.Conn]bool{},
	}
	s.serve(l)
	return s, nil
}

type connKey struct{}

func (s *store) serve(l net.Listener) {
	srv := &http.Server{Handler: s, ConnContext: contextWithConn}
	s.mu.Lock()
	s.server = srv
	s.mu.Unlock()
	go func() { _ = srv.Serve(l) }()
}

// put creates an object (expected 0) or replaces its spec. A nil expected revision replaces any.
func (s *store) put(kind, name string, expected *uint64, spec json.RawMessage) (object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return object{}, errAway
	}
	return s.putLocked(kind, name, expected, spec)
}

func (s *store) putLocked(kind, name string, expected *uint64, spec json.RawMessage) (object, error) {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	old, ok := s.objects[kind][name]
	switch {
	case expected == nil:
	case *expected == 0 && ok, *expected != 0 && ok && old.Metadata.Revision != *expected:
		return old, errConflict
	case *expected != 0 && !ok:
		return object{}, errMissing
	}
	if ok && string(old.Spec) == string(spec) {
		return old, nil // a PUT that changes nothing does not increase the revision
	}
	s.revision++
	o := object{Metadata: metadata{Name: name, Revision: s.revision, Created: s.revision, Finalizers: []string{}}, Spec: spec, Status: old.Status}
	if ok {
		o.Metadata.Created = old.Metadata.Created
	}
	s.objects[kind][name] = o
	s.append(storeEvent{kind: kind, revision: s.revision, object: o})
	return o, nil
}

func (s *store) append(e storeEvent) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// remove removes an object. An expected revision of 0 removes any.
func (s *store) remove(kind, name string, expected uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return errAway
	}
	old, ok := s.objects[kind][name]
	switch {
	case !ok:
		return errMissing
	case expected != 0 && old.Metadata.Revision != expected:
		return errConflict
	}
	delete(s.objects[kind], name)
	s.revision++
	old.Metadata.Revision = s.revision
	s.append(storeEvent{kind: kind, revision: s.revision, object: old, removed: true})
	return nil
}

// get returns an object.
func (s *store) get(kind, name string) (object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	return o, ok
}

// copy copies the contents.
func (s *store) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := storeCopy{revision: s.revision, objects: map[string]map[string]object{}, history: append([]storeEvent(nil), s.history...)}
	for kind, list := range s.objects {
		c.objects[kind] = map[string]object{}
		for name, o := range list {
			c.objects[kind][name] = o
		}
	}
	return c
}

// goAway closes the listener and all channels.
func (s *store) goAway() {
	s.mu.Lock()
	s.away = true
	srv := s.server
	s.mu.Unlock()
	_ = srv.Close()
}

// comeBack serves again, from a copy if one is given. The era then rises by one.
func (s *store) comeBack(c *storeCopy) error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.away = false
	if c != nil {
		s.era++
		s.revision, s.objects, s.history = c.revision, c.objects, c.history
	}
	s.mu.Unlock()
	s.serve(l)
	return nil
}

// cutWatches closes the channels of all waiting watches and returns their number.
func (s *store) cutWatches() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.watching)
	for c := range s.watching {
		_ = c.Close()
	}
	return n
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	era, away := s.era, s.away
	s.mu.Unlock()
	if away {
		panic(http.ErrAbortHandler)
	}
	w.Header()["Store-Era"] = []string{strconv.Itoa(era)}
	rest, ok := strings.CutPrefix(r.URL.Path, "/api/objects/")
	parts := strings.Split(rest, "/")
	if !ok || len(parts) < 1 || len(parts) > 2 || parts[0] == "" {
		http.Error(w, `{"error":"no such path"}`, http.StatusNotFound)
		return
	}
	kind := parts[0]
	switch {
	case r.Method == http.MethodGet && len(parts) == 2:
		o, ok := s.get(kind, parts[1])
		if !ok {
			storeError(w, errMissing)
			return
		}
		writeJSON(w, http.StatusOK, o)
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.list(w, r, kind)
	case r.Method == http.MethodPost && len(parts) == 1, r.Method == http.MethodPut && len(parts) == 2:
		var o object
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			http.Error(w, `{"error":"bad body"}`, http.StatusBadRequest)
			return
		}
		var expected *uint64
		if r.Method == http.MethodPost {
			expected = new(uint64)
		} else if o.Metadata.Revision != 0 {
			expected = &o.Metadata.Revision
		}
		out, err := s.put(kind, o.Metadata.Name, expected, o.Spec)
		switch {
		case errors.Is(err, errConflict):
			writeJSON(w, http.StatusConflict, out)
		case err != nil:
			storeError(w, err)
		default:
			s.mu.Lock()
			s.systemWrites++
			s.mu.Unlock()
			writeJSON(w, http.StatusOK, out)
		}
	case r.Method == http.MethodDelete && len(parts) == 2:
		revision, _ := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
		if err := s.remove(kind, parts[1], revision); err != nil {
			storeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, struct{}{})
	default:
		http.Error(w, `{"error":"no such call"}`, http.StatusMethodNotAllowed)
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	var names []string
	for name := range s.objects[kind] {
		if name > r.URL.Query().Get("after") {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	items := []object{}
	for _, name := range names {
		items = append(items, s.objects[kind][name])
	}
	at := s.revision
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "hasMore": false, "at": at})
}

type wireEvent struct {
	Object  object `json:"object"`
	Removed bool   `json:"removed"`
}

// watch answers as soon as there is a change after the revision, or once the wait is over.
func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer timer.Stop()
	conn, _ := r.Context().Value(connKey{}).(net.Conn)
	for over := false; ; {
		s.mu.Lock()
		if after > s.revision {
			s.mu.Unlock()
			writeJSON(w, http.StatusGone, map[string]string{"error": "no such revision"})
			return
		}
		events := []wireEvent{}
		for _, e := range s.history {
			if e.kind == kind && e.revision > after {
				events = append(events, wireEvent{e.object, e.removed})
			}
		}
		at, changed := s.revision, s.changed
		if len(events) > 0 || over {
			delete(s.watching, conn)
			s.mu.Unlock()
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		s.watching[conn] = true
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			s.mu.Lock()
			delete(s.watching, conn)
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
	}
}

func storeError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, errMissing):
		http.Error(w, `{"error":"no such object"}`, http.StatusNotFound)
	case errors.Is(err, errConflict):
		http.Error(w, `{"error":"another revision"}`, http.StatusConflict)
	default:
		panic(http.ErrAbortHandler)
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
