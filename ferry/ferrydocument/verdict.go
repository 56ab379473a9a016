package ferrydocument

import (
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryservice"
)

// Verdict is what a Holder did with a document that it was offered.
type Verdict string

// The verdicts; only Taken changes what is in force.
const (
	// Taken means that the document is now in force.
	Taken Verdict = "Taken"
	// Same means that the document was in force already.
	Same Verdict = "Same"
	// Older means that a later generation is in force.
	Older Verdict = "Older"
	// Forked means that the document comes from another branch than the one in force, which an operator has to settle.
	Forked Verdict = "Forked"
	// Invalid means that the document does not pass its own checks.
	Invalid Verdict = "Invalid"
	// Full means that the holder has as many services as it may have.
	Full Verdict = "Full"
	// NoBase means that a difference applies to a version that is not in force.
	NoBase Verdict = "NoBase"
)

// compare judges a document by its place in the history alone; held is nil if the service is new.
func compare(held *InForce, a ferryservice.Accepted, hash string) Verdict {
	if held == nil {
		return Taken
	}
	h := held.Accepted.Generation
	switch {
	case a.Generation < h:
		return compareOlder(held, a.Generation, hash)
	case a.Generation == h && hash == held.Hash:
		return Same
	case a.Generation == h:
		return Forked
	case a.DescendsFrom(h, held.Hash) == ferryservice.Diverges:
		return Forked
	}
	return Taken
}

// compareOlder tells an earlier version of the document in force from one of another branch.
func compareOlder(held *InForce, g ferryid.Generation, hash string) Verdict {
	if held.Accepted.DescendsFrom(g, hash) == ferryservice.Diverges {
		return Forked
	}
	return Older
}
