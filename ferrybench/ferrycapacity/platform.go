package ferrycapacity

import "cactusferry.dev/ferry/ferryduty"

const (
	watchersPerDomain = 2
	watchedKinds      = 2
)

// watchesOf counts the entries that hold a watch by their own computation.
func watchesOf(f *fleet) int {
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
