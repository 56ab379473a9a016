package ferrypeertest

import (
	"maps"
	"slices"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypeer"
)

// Crash ends a core; its connections are reset.
func (f *Fleet) Crash(name ferryid.EntryName) {
	c := f.cores[name]
	if c == nil {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(c.conns)) {
		f.closeConn(c, c.conns[id])
	}
	c.crashed = true
	delete(f.cores, name)
	if f.at[c.Member.PeerAddress] == c {
		delete(f.at, c.Member.PeerAddress)
	}
	f.relist()
}

// Leave lets a core say that it goes, and ends it.
func (f *Fleet) Leave(name ferryid.EntryName) {
	c := f.cores[name]
	if c == nil {
		return
	}
	c.step(ferrypeer.Leaving{})
	f.after(tickEvery, func() {
		if f.cores[name] == c {
			f.Crash(name)
		}
	})
}

// Freeze stops a core without a word; what comes for it waits.
func (f *Fleet) Freeze(name ferryid.EntryName) {
	if c := f.cores[name]; c != nil {
		c.frozen = true
	}
}

// Thaw lets a frozen core run on.
func (f *Fleet) Thaw(name ferryid.EntryName) {
	if c := f.cores[name]; c != nil {
		c.Thaw()
	}
}

// Thaw lets the core run on, also if another has taken its name meanwhile; its clock is noticed before what waits is read.
func (c *Core) Thaw() {
	c.frozen = false
	c.step(ferrypeer.Tick{})
	waiting := c.waiting
	c.waiting = nil
	for _, in := range waiting {
		c.step(in)
	}
}

// Cut puts the failure domains into the numbered part; nothing passes between parts, and all domains start in part 0.
func (f *Fleet) Cut(part int, domains ...ferryid.DomainName) {
	for _, d := range domains {
		f.cut[d] = part
	}
}

// Heal joins all parts again.
func (f *Fleet) Heal() { clear(f.cut) }

// Silence makes one of a core's connections lose everything from now on, with neither end told; it returns the peer's name.
func (f *Fleet) Silence(name ferryid.EntryName, pick int) ferryid.EntryName {
	c := f.cores[name]
	if c == nil || len(c.conns) == 0 {
		return ""
	}
	ids := slices.Sorted(maps.Keys(c.conns))
	n := c.conns[ids[pick%len(ids)]]
	n.silent = true
	return n.other(c).Member.Name
}
