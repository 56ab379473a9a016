package ferryclaim

import (
	"context"
	"errors"
	"sync"
	"time"

	"cactusferry.dev/ferry/ferryplatform"
)

// fault is the fault injected into one call to memStore.
type fault int

const (
	faultNone fault = iota
	faultDown
	faultLostApplied
	faultLostDropped
	faultLostLate
)

var errLost = errors.New("answer lost")

// memStore is an in-memory object API that can fail, lose answers and apply writes late.
type memStore struct {
	mu           sync.Mutex
	version      ferryplatform.Version
	objects      map[string]ferryplatform.Object
	late         []func()
	puts         int
	bytesWritten int
	gets         int
	bytesRead    int
	fault        func(write bool) fault
}

func newMemStore() *memStore {
	return &memStore{objects: map[string]ferryplatform.Object{}}
}

func (s *memStore) nextFault(write bool) fault {
	if s.fault == nil {
		return faultNone
	}
	return s.fault(write)
}

func (s *memStore) Get(_ context.Context, kind, name string) (ferryplatform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.nextFault(false) == faultDown {
		return ferryplatform.Object{}, &ferryplatform.UnavailableError{Op: "get", Err: errLost}
	}
	s.gets++
	o, ok := s.objects[kind+"/"+name]
	if !ok {
		return o, &ferryplatform.NotFoundError{Kind: kind, Name: name}
	}
	s.bytesRead += len(o.Value)
	return o, nil
}

func (s *memStore) apply(kind, name string, expected ferryplatform.Version, value []byte) (ferryplatform.Version, error) {
	if s.objects[kind+"/"+name].Version != expected {
		return 0, &ferryplatform.ConflictError{Kind: kind, Name: name, Expected: expected}
	}
	s.version++
	s.objects[kind+"/"+name] = ferryplatform.Object{Kind: kind, Name: name, Version: s.version, Value: value}
	return s.version, nil
}

func (s *memStore) Put(_ context.Context, kind, name string, expected ferryplatform.Version, value []byte) (ferryplatform.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.puts++
	s.bytesWritten += len(value)
	lost := &ferryplatform.UnknownOutcomeError{Op: "put", Err: errLost}
	switch s.nextFault(true) {
	case faultDown:
		return 0, &ferryplatform.UnavailableError{Op: "put", Err: errLost}
	case faultLostApplied:
		_, _ = s.apply(kind, name, expected, value)
		return 0, lost
	case faultLostDropped:
		return 0, lost
	case faultLostLate:
		s.late = append(s.late, func() { _, _ = s.apply(kind, name, expected, value) })
		return 0, lost
	}
	return s.apply(kind, name, expected, value)
}

func (s *memStore) applyLate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.late {
		f()
	}
	s.late = nil
}

func (s *memStore) Delete(_ context.Context, kind, name string, expected ferryplatform.Version) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[kind+"/"+name].Version != expected {
		return &ferryplatform.ConflictError{Kind: kind, Name: name, Expected: expected}
	}
	delete(s.objects, kind+"/"+name)
	return nil
}

func (s *memStore) List(context.Context, string) (ferryplatform.Changes, error) {
	return ferryplatform.Changes{}, nil
}

func (s *memStore) Watch(context.Context, string, ferryplatform.Version, time.Duration) (ferryplatform.Changes, error) {
	return ferryplatform.Changes{}, nil
}
