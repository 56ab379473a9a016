package ferrynode

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryorder"
	"cactusferry.dev/ferry/ferrypeer"
	"cactusferry.dev/ferrystand/ferryprocess"
	"cactusferry.dev/ferrystand/ferrystandengine"
)

func TestAnswerOrdersReadsGroup(t *testing.T) {
	b := startTestNode(t)
	b.apply(t, "herd-llm", strings.Replace(b.modelText(64), `Version = "1"`, `Version = "2"`, 1), 0)
	b.waitUntil(t, "engines ordered", func() error {
		for _, u := range b.urls {
			l, err := b.node.engines.Load(t.Context(), u)
			if err != nil || l.Version != "2" {
				return fmt.Errorf("%s has version %q: %v", u, l.Version, err)
			}
		}
		return nil
	})
	f, ok := b.node.holder.Get("herd-llm")
	assert.Assert(t, ok)
	c := ferryorder.NewCore(ferryorder.Pace{})
	c.SetWanted(ferryorder.WantedOf(f.Accepted.Generation, f.Document))
	c.SetFence(1)
	now := time.Now()
	asks := c.Due(now)
	assert.Equal(t, len(asks), 1)

	_, err := b.node.answerOrders(t.Context(), ferrypeer.Member{}, []byte("x"))
	assert.Assert(t, err != nil)
	for _, other := range []ferryorder.GroupAsk{{Service: "other"}, {Service: "herd-llm", Sum: asks[0].Sum + 1}, {Service: "herd-llm", Group: 1, Sum: asks[0].Sum}} {
		_, err := b.node.answerOrders(t.Context(), ferrypeer.Member{}, encode(other))
		assert.ErrorType(t, err, &ferryorder.GroupError{})
	}

	out, err := b.node.answerOrders(t.Context(), ferrypeer.Member{}, encode(asks[0]))
	assert.NilError(t, err)
	var ans ferryorder.GroupAnswer
	assert.NilError(t, cbor.Unmarshal(out, &ans))
	c.ApplyAnswer(asks[0], ans, now)
	sends, blocked := c.Next(now)
	assert.Equal(t, len(sends)+len(blocked), 0, "%v %v", sends, blocked)
}

// startSecondEntry starts another entry and waits until both entries have each other in their membership.
func (b *testNode) startSecondEntry(t *testing.T) *Node {
	t.Helper()
	free, err := ferryprocess.FreeAddresses(2)
	assert.NilError(t, err)
	cfg := b.node.cfg
	cfg.Name, cfg.FailureDomain = "entry-2", "ruse-b"
	cfg.Callers.Listen, cfg.Callers.Advertise = free[0], ""
	cfg.Peers.Listen, cfg.Peers.Advertise = free[1], ""
	cfg.Peers.Seeds = []string{b.node.cfg.Peers.Listen}
	cfg.SetDefaults()
	n, err := New(cfg, clockwork.NewRealClock(), zerolog.Nop())
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = n.Run(ctx, make(chan os.Signal)) }()
	b.waitUntil(t, "both entries joined", func() error {
		for _, each := range []*Node{b.node, n} {
			usable := 0
			for _, m := range each.peer.Members().List {
				if m.Usable() {
					usable++
				}
			}
			if usable != 2 {
				return fmt.Errorf("%s has %d usable members, expected 2", each.cfg.Name, usable)
			}
		}
		return nil
	})
	return n
}

func TestEntriesShareGroupReads(t *testing.T) {
	b := startTestNode(t)
	other := b.startSecondEntry(t)
	for i := 4; i < ferryorder.GroupSize+2; i++ {
		half := ferryid.Layer(i % 2 * testLayers / 2)
		e := ferrystandengine.New(ferrystandengine.Config{
			Name: ferryid.UpstreamName(fmt.Sprintf("engine-%d", i+1)), Service: "herd-llm", Layers: ferryid.LayerRange{From: half, To: half + testLayers/2},
		})
		t.Cleanup(e.Close)
		b.urls = append(b.urls, serveOn(t, e))
	}
	b.apply(t, "herd-llm", strings.Replace(b.modelText(64), `Version = "1"`, `Version = "2"`, 1), 0)
	b.waitUntil(t, "engines ordered", func() error {
		for _, u := range b.urls {
			l, err := b.node.engines.Load(t.Context(), u)
			if err != nil || l.Version != "2" {
				return fmt.Errorf("%s has version %q: %v", u, l.Version, err)
			}
		}
		return nil
	})
	f, _ := b.node.holder.Get("herd-llm")
	c := ferryorder.NewCore(ferryorder.Pace{})
	c.SetWanted(ferryorder.WantedOf(f.Accepted.Generation, f.Document))
	c.SetFence(1)
	asks := c.Due(time.Now())
	assert.Equal(t, len(asks), 2)
	for _, a := range asks {
		refused := 0
		for _, n := range []*Node{b.node, other} {
			b.waitUntil(t, "group read", func() error {
				ans, err := groupReaders{n}.ReadGroup(t.Context(), a)
				if err == nil && (ans.Unread != 0 || len(ans.Differ) > 0) {
					err = fmt.Errorf("%+v", ans)
				}
				return err
			})
			wrong := a
			wrong.Sum++
			_, err := groupReaders{n}.ReadGroup(t.Context(), wrong)
			var byPeer *ferrypeer.RefusedError
			if errors.As(err, &byPeer) {
				refused++
			}
		}
		assert.Equal(t, refused, 1, "group %d must be read by exactly one entry", a.Group)
	}
}
