package ferryclaim

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
	"cactusferry.dev/ferry/ferryplatform/ferryplatformtest"
)

func TestLookup(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	clock := clockwork.NewRealClock()
	seal, err := NewSeal(make([]byte, 32))
	assert.NilError(t, err)
	c := New(Config{Self: "self", Store: ferryplatformtest.New(clock), Seal: seal, Clock: clock})
	go func() { _ = c.Run(ctx) }()
	customers := []ferryid.CustomerName{"dobrich", "smolyan"}
	got, err := c.Lookup(ctx, "parlour-api", "k1", customers)
	assert.NilError(t, err)
	assert.Equal(t, len(got), 0)
	claim, err := c.Begin(ctx, Call{Customer: "dobrich", Service: "parlour-api", Key: "k1"})
	assert.NilError(t, err)
	got, err = c.Lookup(ctx, "parlour-api", "k1", customers)
	assert.NilError(t, err)
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].State, "Claimed")
	assert.NilError(t, claim.MarkDispatched())
	claim.Finish(ctx, Result{Outcome: ferryoutcome.Ran, Status: 200})
	flush, done := context.WithTimeout(ctx, 10*time.Second)
	defer done()
	assert.NilError(t, c.Flush(flush))
	got, err = c.Lookup(ctx, "parlour-api", "k1", customers)
	assert.NilError(t, err)
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].Outcome, ferryoutcome.Ran)
	assert.Equal(t, got[0].Customer, ferryid.CustomerName("dobrich"))
}
