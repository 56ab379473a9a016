package ferrypeer_test

import (
	"context"
	"net/http"
	"sync"
	"testing"

	"github.com/coder/websocket"

	"cactusferry.dev/ferry/ferrynettest"
)

// tap is a WebSocket proxy in front of a node that records the frames of the dialling side.
type tap struct {
	t         *testing.T
	target    string
	address   string
	mu        sync.Mutex
	frames    map[*websocket.Conn][][]byte
	upstreams []*websocket.Conn
}

func newTap(t *testing.T, target string) *tap {
	t.Helper()
	p := &tap{t: t, target: target, frames: map[*websocket.Conn][][]byte{}}
	server := ferrynettest.Serve(http.HandlerFunc(p.proxy))
	t.Cleanup(server.Close)
	p.address = server.Listener.Addr().String()
	return p
}

func (p *tap) proxy(w http.ResponseWriter, r *http.Request) {
	in, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	out, _, err := websocket.Dial(r.Context(), "ws://"+p.target+"/peer", &websocket.DialOptions{HTTPClient: ferrynettest.Client()})
	if err != nil {
		_ = in.CloseNow()
		return
	}
	p.mu.Lock()
	p.upstreams = append(p.upstreams, out)
	p.mu.Unlock()
	go p.copy(r.Context(), in, out, func([]byte) {})
	p.copy(r.Context(), out, in, func(frame []byte) { p.record(in, frame) })
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

func (p *tap) record(of *websocket.Conn, frame []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frames[of] = append(p.frames[of], frame)
}

// firstFrames returns the first n frames of a connection with more than n frames, whose handshake is thus complete.
func (p *tap) firstFrames(n int) [][]byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, frames := range p.frames {
		if len(frames) > n {
			return frames[:n]
		}
	}
	return nil
}

// inject sends a frame to the node on each connection opened by the peer; errors of closed connections are ignored.
func (p *tap) inject(frame []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, out := range p.upstreams {
		_ = out.Write(context.Background(), websocket.MessageBinary, frame)
	}
}
