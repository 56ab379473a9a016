package ferrynode

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferrydocument"
	"cactusferry.dev/ferry/ferrylimit"
	"cactusferry.dev/ferry/ferryservice"
)

func TestLimitsWaitForDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		cu := ferryservice.Customer{Name: "dobrich", RequestsPerSecond: 10}
		d := ferryservice.Document{Service: "herd-llm", Customers: ferryservice.Customers{cu}}
		n := &Node{limits: newLimits(), clock: clockwork.NewRealClock()}
		n.limits.setDocument(&ferrydocument.InForce{Document: d})
		rounds := 0
		go func() {
			for ctx.Err() == nil {
				n.limits.awaitDemand(ctx)
				rounds++
				n.limits.mu.Lock()
				for _, g := range n.limits.counter.Answer(n.limits.shares.Asks(n.clock.Now()), n.clock.Now()) {
					n.limits.shares.Granted(g)
				}
				n.limits.mu.Unlock()
				n.sleep(ctx, ferrylimit.AskInterval)
			}
		}()
		time.Sleep(time.Hour)
		synctest.Wait()
		assert.Equal(t, rounds, 0)
		_, ok := n.allow(&d, cu, 1)
		assert.Assert(t, ok)
		time.Sleep(time.Second)
		synctest.Wait()
		used := rounds
		assert.Assert(t, used > 0 && used <= 20, "%d rounds within 1 s, expected 1 to 20", used)
		time.Sleep(time.Hour)
		synctest.Wait()
		assert.Equal(t, rounds, used)
		cancel()
		synctest.Wait()
		for i := range 20 {
			_, ok = n.allow(&d, cu, 1)
			assert.Equal(t, ok, i == 0)
		}
	})
}
