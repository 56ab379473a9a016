package ferrynode

import (
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferrydocument"
	"cactusferry.dev/ferry/ferryservice"
)

// documentVersions returns a document and two edits of it, large enough to be sent as deltas.
func documentVersions(b *testNode) []ferryservice.Accepted {
	var out []ferryservice.Accepted
	var last ferryservice.Accepted
	for _, team := range []string{"herd", "dairy", "parlour"} {
		next := last.Successor()
		next.Service, next.ApplyID = "parlour-api", team
		next.Source = strings.Replace(b.plainText(), `Team = "parlour"`, `Team = "`+team+`"`, 1)
		out = append(out, next)
		last = next
	}
	return out
}

func TestDocumentsReplicateAsDeltas(t *testing.T) {
	vs := documentVersions(&testNode{plainAddress: "10.0.0.1:80"})
	clock := clockwork.NewFakeClock()
	ahead, behind := ferrydocument.NewHolder(clock, nil), ferrydocument.NewHolder(clock, nil)
	from, to := documentTopic(ahead), documentTopic(behind)
	for i, v := range vs {
		assert.Equal(t, ahead.Offer(v, "store"), ferrydocument.Taken)
		items := from.Missing(to.Digest())
		assert.Equal(t, len(items), 1)
		var u ferrydocument.Update
		assert.NilError(t, cbor.Unmarshal(items[0], &u))
		assert.Equal(t, len(u.Delta) > 0, i > 0)
		changed, err := to.Apply(items[0])
		assert.NilError(t, err)
		assert.Assert(t, changed)
		f, ok := behind.Get(v.Service)
		assert.Assert(t, ok)
		assert.DeepEqual(t, f.Accepted, v)
	}
}

func TestDeltaWithoutBaseIsIgnored(t *testing.T) {
	vs := documentVersions(&testNode{plainAddress: "10.0.0.1:80"})
	clock := clockwork.NewFakeClock()
	ahead, behind, empty := ferrydocument.NewHolder(clock, nil), ferrydocument.NewHolder(clock, nil), ferrydocument.NewHolder(clock, nil)
	ahead.Offer(vs[0], "store")
	behind.Offer(vs[0], "store")
	ahead.Offer(vs[1], "store")
	from, to := documentTopic(ahead), documentTopic(empty)
	item := from.Missing(documentTopic(behind).Digest())[0]
	changed, err := to.Apply(item)
	assert.NilError(t, err)
	assert.Assert(t, !changed)
	changed, err = to.Apply(from.Missing(to.Digest())[0])
	assert.NilError(t, err)
	assert.Assert(t, changed)
	_, err = documentTopic(behind).Apply(item[:len(item)-1])
	assert.Assert(t, err != nil)
}
