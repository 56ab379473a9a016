package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeAnswer is how long the store takes for an answer.
const storeAnswer = 4 * time.Millisecond

// object is one object of the store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status,omitempty"`
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    int64    `json:"created,omitempty"`
	Finalizers []string `json:"finalizers,omitempty"`
}

type event struct {
	Object  object `json:"object"`
	Removed bool   `json:"removed"`
}

// store is the platform's store.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	history  map[string][]event
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 1, objects: map[string]map[string]object{}, history: map[string][]event{}, changed: make(chan struct{})}
}

// write creates or replaces the spec of an object, as operators and runners do.
func (s *store) write(kind, name string, spec any) {
	b, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(kind, object{Metadata: metadata{Name: name}, Spec: b})
}

// remove removes an object if it exists.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	o.Metadata.Revision = s.revision
	s.add(kind, event{Object: o, Removed: true})
}

// set stores an object with the next revision; the caller holds mu.
func (s *store) set(kind string, o object) object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.revision++
	o.Metadata.Revision = s.revision
	s.objects[kind][o.Metadata.Name] = o
	s.add(kind, event{Object: o})
	return o
}

func (s *store) add(kind string, e event) {
	s.history[kind] = append(s.history[kind], e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves one call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswer)
	path, ok := strings.CutPrefix(r.URL.Path, "/api/objects/")
	kind, name, _ := strings.Cut(path, "/")
	if !ok || kind == "" || strings.HasSuffix(name, "/status") {
		reply(w, http.StatusNotFound, nil)
		return
	}
	q := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && name != "":
		s.get(w, kind, name)
	case r.Method == http.MethodGet && q.Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.list(w, kind)
	case r.Method == http.MethodPost, r.Method == http.MethodPut:
		s.put(w, r, kind, name)
	case r.Method == http.MethodDelete:
		s.delete(w, kind, name, q.Get("revision"))
	default:
		reply(w, http.StatusMethodNotAllowed, nil)
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if v == nil {
		v = struct{}{}
	}
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.objects[kind][name]
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, nil)
		return
	}
	reply(w, http.StatusOK, o)
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	items := []object{}
	for _, o := range s.objects[kind] {
		items = append(items, o)
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": false, "at": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.history[kind] {
			if e.Object.Metadata.Revision > after {
				events = append(events, e)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) put(w http.ResponseWriter, r *http.Request, kind, name string) {
	var in object
	if json.NewDecoder(r.Body).Decode(&in) != nil || in.Metadata.Name == "" {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[kind][in.Metadata.Name]
	switch {
	case r.Method == http.MethodPost && exists:
		reply(w, http.StatusConflict, old)
		return
	case r.Method == http.MethodPut && (!exists || name != in.Metadata.Name):
		reply(w, http.StatusNotFound, nil)
		return
	case r.Method == http.MethodPut && in.Metadata.Revision != 0 && in.Metadata.Revision != old.Metadata.Revision:
		reply(w, http.StatusConflict, old)
		return
	}
	reply(w, http.StatusOK, s.set(kind, in))
}

func (s *store) delete(w http.ResponseWriter, kind, name, revision string) {
	s.mu.Lock()
	old, ok := s.objects[kind][name]
	s.mu.Unlock()
	n, _ := strconv.ParseUint(revision, 10, 64)
	switch {
	case !ok:
		reply(w, http.StatusNotFound, nil)
	case n != 0 && n != old.Metadata.Revision:
		reply(w, http.StatusConflict, old)
	default:
		s.remove(kind, name)
		reply(w, http.StatusOK, nil)
	}
}
