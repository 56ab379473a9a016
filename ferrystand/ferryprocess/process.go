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

// Start runs the program; its output is kept, and a line "ready" on standard output marks it ready.
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

// Log returns what the process has written.
func (p *Process) Log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// PID is the process's id.
func (p *Process) PID() int {
	return p.cmd.Process.Pid
}

// WaitReady waits for the line "ready" on standard output.
func (p *Process) WaitReady(ctx context.Context) error {
	select {
	case <-p.ready:
		return nil
	case <-p.done:
		return fmt.Errorf("%s ended before it was ready: %v\n%s", p.Name, p.err, p.Log())
	case <-ctx.Done():
		return fmt.Errorf("%s was not ready in time:\n%s", p.Name, p.Log())
	}
}

// Signal sends a signal.
func (p *Process) Signal(s syscall.Signal) error {
	return p.cmd.Process.Signal(s)
}

// Wait waits for the end of the process and returns its error.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-p.done:
		if p.err != nil {
			return fmt.Errorf("%s: %w\n%s", p.Name, p.err, p.Log())
		}
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%s did not end in time:\n%s", p.Name, p.Log())
	}
}

// Terminate asks the process to stop and waits for its end.
func (p *Process) Terminate(ctx context.Context) error {
	if err := p.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return merry.Prepend(err, "terminate "+p.Name)
	}
	return p.Wait(ctx)
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Poll calls a check until it returns nil.
func Poll(ctx context.Context, check func(ctx context.Context) error) error {
	for {
		err := check(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return merry.Prepend(err, "gave up waiting")
		case <-time.After(pollInterval):
		}
	}
}

// WaitHTTP waits until a GET of the URL with the client answers 200 or the process ends.
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

// The ports that FreeAddresses chooses from lie below those that the system gives to outgoing connections.
const (
	firstPort = 20000
	lastPort  = 32000
)

// FreeAddresses returns loopback addresses that nothing listens on and no outgoing connection will take.
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
	return nil, fmt.Errorf("only %d of %d ports are free", len(out), n)
}
