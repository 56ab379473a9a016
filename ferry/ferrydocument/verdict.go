package ferrydocument

import (
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryservice"
)

// Verdict is the result of offering a document to a Holder.
type Verdict string

// Verdicts; only Taken changes the document in force.
const (
	// Taken means that the document is now in force.
	Taken Verdict = "Taken"
	// Same means that the document was in force already.
	Same Verdict = "Same"
	// Older means that a later generation is in force.
	Older Verdict = "Older"
	// Forked means that the document and the one in force are on diverging branches; an operator has to
	// resolve the fork.
	Forked Verdict = "Forked"
	// Invalid means that the document failed validation.
	Invalid Verdict = "Invalid"
	// Full means that the holder has reached its maximum number of services.
	Full Verdict = "Full"
	// NoBase means that the base of a delta is not in force.
	NoBase Verdict = "NoBase"
)

// compare returns the verdict on a document by its ancestry alone; held is nil if the service is new.
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

// compareOlder distinguishes an ancestor of the document in force from an older version on another branch.
func compareOlder(held *InForce, g ferryid.Generation, hash string) Verdict {
	if held.Accepted.DescendsFrom(g, hash) == ferryservice.Diverges {
		return Forked
	}
	return Older
}
