package ferrynode

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryorder"
	"cactusferry.dev/ferry/ferrypeer"
)

func TestReadsEnginesForTheEntryThatGivesOrders(t *testing.T) {
	b := newBed(t)
	b.apply(t, "herd-llm", strings.Replace(b.modelText(64), `Version = "1"`, `Version = "2"`, 1), 0)
	b.until(t, "ordered", func() error {
		for _, u := range b.urls {
			l, err := b.node.engines.Load(t.Context(), u)
			if err != nil || l.Version != "2" {
				return fmt.Errorf("%s is at %q: %v", u, l.Version, err)
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
	c.Answered(asks[0], ans, now)
	sends, blocked := c.Next(now)
	assert.Equal(t, len(sends)+len(blocked), 0, "%v %v", sends, blocked)
}
