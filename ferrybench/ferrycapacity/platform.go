package ferrycapacity

import "cactusferry.dev/ferry/ferryduty"

const (
	watchersPerDomain = 2
	watchedKinds      = 2
)

// countWatches counts the platform watches in the fleet. Each entry decides from its own membership view.
func countWatches(f *fleet) int {
	n := 0
	for _, c := range f.Cores() {
		ms := c.Overlay.Members()
		for kind := range watchedKinds {
			if ferryduty.HoldsInDomain(ms, ferryduty.Slot("watch", kind), watchersPerDomain) {
				n++
			}
		}
	}
	return n
}
