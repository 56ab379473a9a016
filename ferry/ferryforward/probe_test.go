package ferryforward

import (
	"context"
	"errors"
	"net"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferrydiscovery"
	"cactusferry.dev/ferry/ferryexchange"
	"cactusferry.dev/ferry/ferryguard"
	"cactusferry.dev/ferry/ferrypath"
	"cactusferry.dev/ferry/ferryplatform"
)

// TestProbeResult checks that an engine is not reported dead because this machine is too slow to see its
// answer.
func TestProbeResult(t *testing.T) {
	const silent = time.Hour
	for _, tc := range []struct {
		name string
		// answers are the engine's delays in accepting successive connections; the last one repeats.
		answers []time.Duration
		// lag is the delay with which this machine handles a timeout.
		lag         time.Duration
		alive, slow bool
	}{
		{name: "engine answers at once", answers: []time.Duration{time.Millisecond}, alive: true},
		{name: "one SYN lost", answers: []time.Duration{silent, time.Millisecond}, alive: true},
		{name: "engine gone", answers: []time.Duration{silent}},
		{name: "engine gone, overloaded machine", answers: []time.Duration{silent}, lag: 30 * time.Millisecond, slow: true},
		{name: "engine answers, overloaded machine", answers: []time.Duration{silent, silent, 60 * time.Millisecond}, lag: 30 * time.Millisecond, alive: true, slow: true},
		{name: "connection refused", answers: []time.Duration{-1}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tries := 0
				dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
					d := tc.answers[min(tries, len(tc.answers)-1)]
					tries++
					if d < 0 {
						return nil, errors.New("connection refused")
					}
					select {
					case <-time.After(d):
						here, there := net.Pipe()
						return here, there.Close()
					case <-ctx.Done():
						time.Sleep(tc.lag)
						return nil, ctx.Err()
					}
				}
				clock := clockwork.NewRealClock()
				p := newProber(ferryexchange.New(ferryexchange.Config{Clock: clock, Dial: dial}), clock, ferryguard.New(ferryguard.Config{}))
				pr := p.probe("10.0.0.1:1", time.Time{})
				<-pr.done
				assert.Equal(t, pr.alive, tc.alive)
				assert.Equal(t, p.hostOverloaded(), tc.slow)
			})
		})
	}
}

// TestDeadEngines checks that no engine is reported dead if no engine of the path answers: then the
// fault is on this entry's side.
func TestDeadEngines(t *testing.T) {
	for _, tt := range []struct {
		name  string
		gone  []string
		asked []int
		want  []int
	}{
		{"one of three dead", []string{"b"}, []int{0, 1, 2}, []int{1}},
		{"the only suspect dead", []string{"a"}, []int{0}, []int{0}},
		{"all suspects dead, other engine alive", []string{"a", "b"}, []int{0, 1}, []int{0, 1}},
		{"all suspects and the other engine dead", []string{"a", "b", "c"}, []int{1}, nil},
		{"all dead", []string{"a", "b", "c"}, []int{0, 1, 2}, nil},
		{"none dead", nil, []int{0, 1, 2}, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dial := func(_ context.Context, _, address string) (net.Conn, error) {
					if slices.Contains(tt.gone, address) {
						return nil, errors.New("connection refused")
					}
					here, there := net.Pipe()
					return here, there.Close()
				}
				clock := clockwork.NewRealClock()
				p := newProber(ferryexchange.New(ferryexchange.Config{Clock: clock, Dial: dial}), clock, ferryguard.New(ferryguard.Config{}))
				var hops []ferrypath.Hop
				for _, name := range []string{"a", "b", "c"} {
					hops = append(hops, ferrypath.Hop{Upstream: &ferrydiscovery.Upstream{Instance: ferryplatform.Instance{Name: name, Address: name}}})
				}
				assert.DeepEqual(t, p.deadHops(hops, tt.asked, time.Time{}), tt.want)
			})
		})
	}
}
