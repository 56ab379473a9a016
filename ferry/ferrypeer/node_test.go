package ferrypeer_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryevent"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrynettest"
	"cactusferry.dev/ferry/ferrypeer"
)

const testAsk ferrypeer.AskKind = 7

// realNode is a Node behind an HTTP server on the in-memory network.
type realNode struct {
	*ferrypeer.Node
	server  *httptest.Server
	address string
	stop    func()
}

func startNode(t *testing.T, name, domain string, seeds []string, change func(*ferrypeer.Config)) *realNode {
	t.Helper()
	listener := ferrynettest.Listen()
	clock := clockwork.NewRealClock()
	r := &realNode{address: listener.Addr().String()}
	cfg := ferrypeer.Config{
		Self: ferrypeer.Member{
			Name: ferryid.EntryName(name), Incarnation: ferryid.NewIncarnation(), FailureDomain: ferryid.DomainName(domain),
			PeerAddress: r.address, CallerAddress: "127.0.0.1:1",
		},
		Seeds: seeds, Clock: clock, Dial: ferrynettest.Dial, Secret: []byte("shared"), Log: zerolog.Nop(),
		Events: ferryevent.NewLog(clock, name, 1000),
		Handlers: map[ferrypeer.AskKind]ferrypeer.Handler{
			testAsk: func(_ context.Context, from ferrypeer.Member, body []byte) ([]byte, error) {
				if string(body) == "fail" {
					return nil, errors.New("asked to fail")
				}
				return fmt.Appendf(nil, "%s to %s: %s", name, from.Name, body), nil
			},
		},
	}
	if change != nil {
		change(&cfg)
	}
	r.Node = ferrypeer.New(cfg)
	r.server = &httptest.Server{Listener: listener, Config: &http.Server{Handler: r.Handler()}, TLS: cfg.TLS.Clone()}
	if cfg.TLS != nil {
		r.server.StartTLS()
	} else {
		r.server.Start()
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = r.Run(ctx)
	}()
	synctest.Wait()
	r.stop = func() {
		cancel()
		<-ended
		r.server.Close()
	}
	t.Cleanup(r.stop)
	return r
}

// waitFor polls a condition and fails the test after 30 s of the synctest bubble's fake time.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for limit := time.Now().Add(30 * time.Second); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("condition not met within 30 s: %s", what)
		}
	}
}

func hasUsable(n *realNode, want int) bool {
	usable := 0
	for _, m := range n.Members().List {
		if m.Usable() {
			usable++
		}
	}
	return usable == want
}

func startNineNodes(t *testing.T) []*realNode {
	t.Helper()
	var nodes []*realNode
	var seeds []string
	for i := range 9 {
		n := startNode(t, fmt.Sprintf("entry-%d", i), fmt.Sprintf("domain-%d", i%3), seeds, nil)
		nodes = append(nodes, n)
		seeds = []string{nodes[0].address}
	}
	waitFor(t, "every node has nine usable members", func() bool {
		for _, n := range nodes {
			if !hasUsable(n, 9) {
				return false
			}
		}
		return true
	})
	return nodes
}

func TestNineNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := startNineNodes(t)
		ctx := context.Background()

		to := nodes[5].Self()
		for _, n := range []*realNode{nodes[0], nodes[1], nodes[8]} {
			got, err := n.Ask(ctx, to.Name, to.Incarnation, testAsk, []byte("ping"))
			assert.NilError(t, err)
			assert.Equal(t, string(got), fmt.Sprintf("entry-5 to %s: ping", n.Self().Name))
		}

		_, err := nodes[0].Ask(ctx, to.Name, "an-older-one", testAsk, nil)
		var gone *ferrypeer.GoneError
		assert.Assert(t, errors.As(err, &gone), "%v", err)

		var refused *ferrypeer.RefusedError
		_, err = nodes[0].Ask(ctx, to.Name, to.Incarnation, 99, nil)
		assert.Assert(t, errors.As(err, &refused), "%v", err)
		assert.Equal(t, refused.Status, ferrypeer.AnswerUnknownKind)
		_, err = nodes[0].Ask(ctx, to.Name, to.Incarnation, testAsk, []byte("fail"))
		assert.Assert(t, errors.As(err, &refused), "%v", err)
		assert.Equal(t, refused.Detail, "asked to fail")

		assert.NilError(t, nodes[3].Leave(ctx))
		nodes[3].stop()
		waitFor(t, "the others have entry-3 as Left", func() bool {
			for i, n := range nodes {
				m, ok := n.Members().Get("entry-3")
				if i != 3 && (!ok || m.Status != ferrypeer.Left) {
					return false
				}
			}
			return true
		})

		nodes[4].stop()
		waitFor(t, "the others have entry-4 as Dead", func() bool {
			for i, n := range nodes {
				m, _ := n.Members().Get("entry-4")
				if i != 3 && i != 4 && m.Status != ferrypeer.Dead {
					return false
				}
			}
			return true
		})
		var unreachable *ferrypeer.UnreachableError
		m, _ := nodes[0].Members().Get("entry-4")
		_, err = nodes[0].Ask(ctx, m.Name, m.Incarnation, testAsk, nil)
		assert.Assert(t, errors.As(err, &unreachable), "%v", err)
		assert.Assert(t, !unreachable.Sent)
	})
}

func TestWrongSecretIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := startNode(t, "entry-a", "domain-1", nil, nil)
		b := startNode(t, "entry-b", "domain-1", []string{a.address}, func(c *ferrypeer.Config) { c.Secret = []byte("another") })
		waitFor(t, "the refusal is counted", func() bool { return a.Counts()[string(ferrypeer.CloseUnauthenticated)] > 0 })
		waitFor(t, "the dialling side counts it too", func() bool { return strings.Contains(fmt.Sprint(b.Counts()), "DialFailed") })
		assert.Equal(t, len(a.Members().List), 1)
		assert.Equal(t, len(b.Members().List), 1)
	})
}
