package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is what was sent, answered and run, in the order of time.
type record struct {
	began time.Time

	mu       sync.Mutex
	file     *os.File
	w        *bufio.Writer
	arrivals []arrival
	calls    []call
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: f, w: bufio.NewWriter(f)}, nil
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lineLocked(time.Now(), format, args...)
}

func (r *record) lineLocked(at time.Time, format string, args ...any) {
	fmt.Fprintf(r.w, "%9.3f  %s\n", at.Sub(r.began).Seconds(), fmt.Sprintf(format, args...))
	_ = r.w.Flush()
}

func (r *record) arrived(a arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, a)
	what := "reaches"
	if a.ran {
		what = "runs at"
	}
	if a.refused {
		what = fmt.Sprintf("is refused with %d by", a.status)
	}
	r.lineLocked(a.at, "request %s %s runner %s of %s, tenant %q", a.id, what, a.runner, a.service, a.tenant)
}

func (r *record) called(c call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, c)
	r.lineLocked(c.ended, "request %s (%s %s to %s, sent at %.3f) was answered: %s", c.id, c.method, c.path, c.entry, c.sent.Sub(r.began).Seconds(), c.result())
}

// ran returns the requests that reached runners, in the order of time.
func (r *record) allArrivals() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]arrival(nil), r.arrivals...)
}

func (r *record) allCalls() []call {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]call(nil), r.calls...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.file.Close()
}
