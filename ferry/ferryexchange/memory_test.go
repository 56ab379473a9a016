package ferryexchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// listenEndless accepts TCP connections, writes a prefix to each and then a text until the client closes, as fast as
// the client reads.
func listenEndless(t *testing.T, prefix, text string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	block := []byte(strings.Repeat(text, 1+8192/len(text)))
	var wg sync.WaitGroup
	t.Cleanup(func() {
		l.Close()
		wg.Wait()
	})
	wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			wg.Go(func() {
				defer c.Close()
				readRequest(bufio.NewReader(c))
				writeString(c, prefix)
				for {
					if _, err := c.Write(block); err != nil {
						return
					}
				}
			})
		}
	})
	return l.Addr().String()
}

// TestMemoryOfManyEndlessUpstreams has 64 upstreams at once send bytes without end over real sockets. All that is
// allocated meanwhile, kept or not, must be within 64 MB, so that the smallest entry survives it.
func TestMemoryOfManyEndlessUpstreams(t *testing.T) {
	const upstreams, most = 64, 64 << 20
	const chunked = "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, tt := range []struct{ name, prefix, text string }{
		{"bytes that are no answer", "", "\x00\x01"},
		{"one header line", "HTTP/1.1 200 OK\r\nA: ", "a"},
		{"header lines", "HTTP/1.1 200 OK\r\n", "a: b\r\n"},
		{"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"chunk extension", chunked + "1;", "a"},
		{"trailer lines", chunked + "0\r\n", "a: b\r\n"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := New(Config{DialTimeout: time.Minute})
			defer c.Close()
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			address := listenEndless(t, tt.prefix, tt.text)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			var wg sync.WaitGroup
			for range upstreams {
				wg.Go(func() {
					a, err := c.Do(ctx, address, newPost("1"))
					if err == nil {
						_, err = io.Copy(io.Discard, a)
						a.Close()
					}
					assert.Check(t, err != nil, "endless answer taken as complete")
					assert.Check(t, !errors.Is(err, context.DeadlineExceeded), "%v", err)
				})
			}
			wg.Wait()
			runtime.ReadMemStats(&after)
			assert.Assert(t, after.TotalAlloc-before.TotalAlloc <= most, "%d bytes allocated", after.TotalAlloc-before.TotalAlloc)
		})
	}
}
