package ferrypeer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/coder/websocket"
	"gotest.tools/v3/assert"
)

// tap passes WebSocket messages on to a node and keeps what the dialling side sent.
type tap struct {
	t       *testing.T
	target  string
	address string
	mu      sync.Mutex
	frames  [][]byte
	out     *websocket.Conn
}

func newTap(t *testing.T, target string) *tap {
	t.Helper()
	p := &tap{t: t, target: target}
	server := httptest.NewServer(http.HandlerFunc(p.pass))
	t.Cleanup(server.Close)
	p.address = strings.TrimPrefix(server.URL, "http://")
	return p
}

func (p *tap) pass(w http.ResponseWriter, r *http.Request) {
	in, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	out, _, err := websocket.Dial(r.Context(), "ws://"+p.target+"/peer", nil)
	if err != nil {
		_ = in.CloseNow()
		return
	}
	p.mu.Lock()
	p.out = out
	p.mu.Unlock()
	go p.copy(r.Context(), in, out, func([]byte) {})
	p.copy(r.Context(), out, in, p.keep)
}

func (p *tap) copy(ctx context.Context, to, from *websocket.Conn, seen func([]byte)) {
	defer func() {
		_ = to.CloseNow()
		_ = from.CloseNow()
	}()
	for {
		typ, frame, err := from.Read(ctx)
		if err != nil {
			return
		}
		seen(frame)
		if to.Write(ctx, typ, frame) != nil {
			return
		}
	}
}

func (p *tap) keep(frame []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frames = append(p.frames, frame)
}

func (p *tap) firstFrames(n int) [][]byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	assert.Assert(p.t, len(p.frames) >= n)
	return p.frames[:n]
}

// inject sends a frame to the node as if the peer had.
func (p *tap) inject(frame []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	assert.NilError(p.t, p.out.Write(context.Background(), websocket.MessageBinary, frame))
}
