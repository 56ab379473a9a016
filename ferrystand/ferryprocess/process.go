package ferryprocess

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	pollInterval = 20 * time.Millisecond
	logBytes     = 1 << 20
)

// Process is one running program of an experiment.
type Process struct {
	Name  string
	cmd   *exec.Cmd
	ready chan struct{}
	done  chan struct{}
	err   error
	mu    sync.Mutex
	log   bytes.Buffer
}

// Start starts the program and records its output. A line on
// standard output that begins with "ready" marks it as ready.
func Start(name, program string, args, env []string) (*Process, error) {
	p := &Process{Name: name, ready: make(chan struct{}), done: make(chan struct{})}
	p.cmd = exec.Command(program, args...)
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stderr = writer{p}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, merry.Prepend(err, "start "+name)
	}
	if err := p.cmd.Start(); err != nil {
		return nil, merry.Prepend(err, "start "+name)
	}
	go p.read(out)
	track(p)
	return p, nil
}

func (p *Process) read(out io.Reader) {
	s := bufio.NewScanner(out)
	isReady := false
	for s.Scan() {
		line := s.Text()
		_, _ = writer{p}.Write([]byte(line + "\n"))
		if !isReady && strings.HasPrefix(line, "ready") {
			isReady = true
			close(p.ready)
		}
	}
	p.err = p.cmd.Wait()
	close(p.done)
}

type writer struct{ p *Process }

func (w writer) Write(b []byte) (int, error) {
	w.p.mu.Lock()
	defer w.p.mu.Unlock()
	if w.p.log.Len() < logBytes {
		w.p.log.Write(b)
	}
	return len(b), nil
}

// Log returns the recorded output; output beyond about 1 MiB is discarded.
func (p *Process) Log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// PID returns the process ID.
func (p *Process) PID() int {
	return p.cmd.Process.Pid
}

// WaitReady waits for the line that begins with "ready" on standard output.
func (p *Process) WaitReady(ctx context.Context) error {
	select {
	case <-p.ready:
		return nil
	case <-p.done:
		return fmt.Errorf("%s exited before it was ready: %v\n%s", p.Name, p.err, p.Log())
	case <-ctx.Done():
		return fmt.Errorf("%s was not ready before the deadline:\n%s", p.Name, p.Log())
	}
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error {
	return p.cmd.Process.Signal(s)
}

// Wait waits until the process exits and returns its error.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-p.done:
		if p.err != nil {
			return fmt.Errorf("%s: %w\n%s", p.Name, p.err, p.Log())
		}
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%s did not exit before the deadline:\n%s", p.Name, p.Log())
	}
}

// Terminate sends SIGTERM and waits until the process exits.
func (p *Process) Terminate(ctx context.Context) error {
	if err := p.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return merry.Prepend(err, "terminate "+p.Name)
	}
	return p.Wait(ctx)
}

// Kill sends SIGKILL and waits until the process exits.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Poll calls check every 20 ms until it returns nil. When
// the context ends, it returns the last error of check.
func Poll(ctx context.Context, check func(ctx context.Context) error) error {
	for {
		err := check(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return merry.Prepend(err, "condition not met before the deadline")
		case <-time.After(pollInterval):
		}
	}
}

// WaitHTTP waits until a GET request to the URL is answered
// with status 200. It fails if the process exits first.
func (p *Process) WaitHTTP(ctx context.Context, client *http.Client, url string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-p.done:
			cancel()
		case <-ctx.Done():
		}
	}()
	err := pollHTTP(ctx, client, url)
	if err != nil {
		return fmt.Errorf("%s: %w\n%s", p.Name, err, p.Log())
	}
	return nil
}

func pollHTTP(ctx context.Context, client *http.Client, url string) error {
	return Poll(ctx, func(ctx context.Context) error {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return err
		}
		w, err := client.Do(r)
		if err != nil {
			return err
		}
		defer w.Body.Close()
		b, _ := io.ReadAll(w.Body)
		if w.StatusCode != http.StatusOK {
			return fmt.Errorf("%s: %s: %s", url, w.Status, b)
		}
		return nil
	})
}

// The port range of FreeAddresses is below the ephemeral port range of
// the system, so that no outgoing connection takes a chosen port.
const (
	firstPort = 20000
	lastPort  = 32000
)

// FreeAddresses returns n loopback addresses without a listener and outside the ephemeral port range.
func FreeAddresses(n int) ([]string, error) {
	var out []string
	port := firstPort + rand.IntN(lastPort-firstPort)
	for range lastPort - firstPort {
		if len(out) == n {
			return out, nil
		}
		port++
		if port >= lastPort {
			port = firstPort
		}
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		out = append(out, address)
	}
	return nil, fmt.Errorf("choose free ports: found %d of %d", len(out), n)
}
