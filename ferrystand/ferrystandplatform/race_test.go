package ferrystandplatform_test

import (
	"errors"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferrydocument"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryplatform"
	"cactusferry.dev/ferry/ferryplatform/ferryplatformtest"
	"cactusferry.dev/ferry/ferryservice"
	"cactusferry.dev/ferrystand/ferrystandplatform"
)

// TestConcurrentAppliesOverHTTP makes operators edit the same generation concurrently, while answers
// are lost. Exactly one must succeed, and the others must get a LostRaceError with the accepted document.
func TestConcurrentAppliesOverHTTP(t *testing.T) {
	const operators, rounds = 4, 8
	clock := clockwork.NewRealClock()
	platform := ferrystandplatform.New(clock)
	srv := httptest.NewServer(platform)
	defer srv.Close()
	budget := ferryplatform.Budget{PerSecond: 1e6, Burst: 1e6}
	for round := range rounds {
		platform.SetFaults(ferryplatformtest.Faults{LoseAnswers: round % 4})
		var wg sync.WaitGroup
		accepted := make([]ferryservice.Accepted, operators)
		errs := make([]error, operators)
		for i := range operators {
			wg.Go(func() {
				store := ferryplatform.New(ferryplatform.ClientConfig{URL: srv.URL, Clock: clockwork.NewFakeClock(), Budget: budget})
				accepted[i], errs[i] = ferrydocument.NewHolder(clock, nil).Apply(t.Context(), store, ferrydocument.ApplyRequest{
					Service: "parlour-api", Source: fmt.Sprintf("Service = \"parlour-api\"\nTeam = \"%d-%d\"\nKind = \"Plain\"\n", round, i),
					BaseGeneration: ferryid.Generation(round), Operator: fmt.Sprint("op-", i), ApplyID: ferrydocument.NewApplyID(),
				})
			})
		}
		wg.Wait()
		winner := -1
		for i, err := range errs {
			var lost *ferrydocument.LostRaceError
			if err == nil {
				assert.Equal(t, winner, -1, "operators %d and %d both succeeded in round %d", winner, i, round)
				winner = i
				continue
			}
			assert.Assert(t, errors.As(err, &lost), "round %d: %v", round, err)
		}
		assert.Assert(t, winner >= 0, "round %d: no operator succeeded", round)
		for _, err := range errs {
			var lost *ferrydocument.LostRaceError
			if errors.As(err, &lost) {
				assert.Equal(t, lost.Winner.Hash(), accepted[winner].Hash())
			}
		}
	}
}
