package ferryservice

import (
	"fmt"
	"time"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrytoml"
)

// Class is a range of predicted work with its own deadline, priority and reserved share of the
// engines' slots.
type Class struct {
	Name ferryid.ClassName `toml:"Name" json:"Name"`
	// MaxTokens is the largest predicted work of the class; 0 means no limit.
	MaxTokens     ferryid.Tokens `toml:"MaxTokens" json:"MaxTokens"`
	Deadline      Duration       `toml:"Deadline" json:"Deadline"`
	ReservedShare float64        `toml:"ReservedShare" json:"ReservedShare"`
	// Priority is higher for a lower number; work is preempted only for classes of higher priority.
	Priority int `toml:"Priority" json:"Priority"`
}

// Classes are the classes of a service by ascending MaxTokens; the last may be unbounded.
type Classes []Class

func defaultClasses() Classes {
	return Classes{
		{Name: "short", MaxTokens: 128, Deadline: Duration(10 * time.Second), ReservedShare: 0.5, Priority: 0},
		{Name: "long", Deadline: Duration(10 * time.Minute), Priority: 1},
	}
}

const (
	maxClasses     = 16
	maxClassTokens = 10_000_000
)

func (cs Classes) check(c *ferrytoml.Check) {
	if len(cs) > maxClasses {
		c.Fault("Classes", "must be at most %d, are %d", maxClasses, len(cs))
		return
	}
	seen := map[ferryid.ClassName]bool{}
	sum := 0.0
	for i, cl := range cs {
		f := fmt.Sprintf("Classes[%d]", i)
		checkName(c, f+".Name", string(cl.Name))
		if seen[cl.Name] {
			c.Fault(f+".Name", "%q stands twice", cl.Name)
		}
		seen[cl.Name] = true
		if cl.MaxTokens < 0 || (cl.MaxTokens == 0 && i < len(cs)-1) {
			c.Fault(f+".MaxTokens", "must be at least 1 in every class but the last")
		}
		if cl.MaxTokens > maxClassTokens {
			c.Fault(f+".MaxTokens", "must be at most %d, is %d", maxClassTokens, cl.MaxTokens)
		}
		if i > 0 && cl.MaxTokens > 0 && cl.MaxTokens <= cs[i-1].MaxTokens {
			c.Fault(f+".MaxTokens", "must be more than that of the class before")
		}
		if cl.Deadline < 0 || time.Duration(cl.Deadline) > maxDeadline {
			c.Fault(f+".Deadline", "must be from 0s to %s", maxDeadline)
		}
		if !(cl.ReservedShare >= 0 && cl.ReservedShare <= 1) {
			c.Fault(f+".ReservedShare", "must be from 0 to 1, is %v", cl.ReservedShare)
			continue
		}
		sum += cl.ReservedShare
	}
	if sum > 1 {
		c.Fault("Classes", "the reserved shares add up to %v, more than 1", sum)
	}
}

// ForTokens returns the class for work of n predicted tokens.
func (cs Classes) ForTokens(n ferryid.Tokens) Class {
	for _, cl := range cs {
		if cl.MaxTokens == 0 || n <= cl.MaxTokens {
			return cl
		}
	}
	if len(cs) == 0 {
		return Class{}
	}
	return cs[len(cs)-1]
}
