package ferryexchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestAwaitBody(t *testing.T) {
	errCancelled := errors.New("cancelled by the test")
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n"
	for _, tt := range []struct {
		name, head, body string
		// cancel and giveUp are when the context ends and the wait is given up; zero means never.
		cancel, giveUp time.Duration
		wantErr        error
		want           string
		took           time.Duration
	}{
		{"chunk", head + "Transfer-Encoding: chunked\r\n\r\n", "3\r\nabc\r\n0\r\n\r\n", 0, 0, nil, "abc", time.Second},
		{"length", head + "Content-Length: 3\r\n\r\n", "abc", 0, 0, nil, "abc", time.Second},
		{"neither", head + "\r\n", "abc", 0, 0, nil, "abc", time.Second},
		{"no body", head + "Content-Length: 0\r\n\r\n", "", 0, 0, nil, "", 0},
		{"given up", head + "Content-Length: 3\r\n\r\n", "abc", 0, 300 * time.Millisecond, nil, "abc", 300 * time.Millisecond},
		{"connection ends", head + "Content-Length: 3\r\n\r\n", "", 0, 0, io.ErrUnexpectedEOF, "", time.Second},
		{"context ends", head + "Content-Length: 3\r\n\r\n", "abc", 300 * time.Millisecond, 0, errCancelled, "", 300 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				address := startUpstream(t, func(_ int, c net.Conn, br *bufio.Reader) {
					readRequest(br)
					writeString(c, tt.head)
					time.Sleep(time.Second)
					writeString(c, tt.body)
				})
				ctx, cancel := context.WithCancelCause(t.Context())
				defer cancel(nil)
				a, err := newClient(t).Do(ctx, address, newPost("1"))
				assert.NilError(t, err)
				defer a.Close()
				if tt.cancel > 0 {
					time.AfterFunc(tt.cancel, func() { cancel(errCancelled) })
				}
				giveUp := make(chan struct{})
				if tt.giveUp > 0 {
					time.AfterFunc(tt.giveUp, func() { close(giveUp) })
				}
				began := time.Now()
				err = a.AwaitBody(giveUp)
				assert.Equal(t, time.Since(began).Round(time.Millisecond), tt.took)
				assert.ErrorIs(t, err, tt.wantErr)
				if err != nil {
					return
				}
				body, err := io.ReadAll(a)
				assert.NilError(t, err)
				assert.Equal(t, string(body), tt.want)
			})
		})
	}
}
