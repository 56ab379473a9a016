package ferryprocess

import (
	"context"
	"errors"
	"path/filepath"
	"slices"
	"sync"
	"time"
)

// Group is the set of processes of one experiment, which are stopped together.
type Group struct {
	Dir string
	mu  sync.Mutex
	all []*Process
}

// Start starts a program of the group's directory.
func (g *Group) Start(name, program string, args ...string) (*Process, error) {
	p, err := Start(name, filepath.Join(g.Dir, program), args, nil)
	if err != nil {
		return nil, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.all = append(g.all, p)
	return p, nil
}

// StartReady starts a program of the group's directory and waits until it is ready.
func (g *Group) StartReady(ctx context.Context, name, program string, args ...string) (*Process, error) {
	p, err := g.Start(name, program, args...)
	if err != nil {
		return nil, err
	}
	return p, p.WaitReady(ctx)
}

// Terminate sends SIGTERM to the processes one after another, the
// latest first, and waits for each. It returns the joined errors.
func (g *Group) Terminate(ctx context.Context) error {
	g.mu.Lock()
	all := slices.Clone(g.all)
	g.mu.Unlock()
	slices.Reverse(all)
	var errs []error
	for _, p := range all {
		errs = append(errs, p.Terminate(ctx))
	}
	return errors.Join(errs...)
}

// KillAll kills the processes that still run.
func (g *Group) KillAll() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.all {
		select {
		case <-p.done:
		default:
			p.Kill()
		}
	}
}

// Run runs a program of the group's directory, for at most 30 s, and returns its output.
func (g *Group) Run(ctx context.Context, program string, args ...string) (string, error) {
	p, err := Start(program, filepath.Join(g.Dir, program), args, nil)
	if err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(ctx, 30*time.Second)
	defer cancel()
	err = p.Wait(ctx)
	return p.Log(), err
}
