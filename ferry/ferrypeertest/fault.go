package ferrypeertest

import (
	"maps"
	"slices"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypeer"
)

// Crash stops a core and resets its connections.
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
	if f.byAddress[c.Member.PeerAddress] == c {
		delete(f.byAddress, c.Member.PeerAddress)
	}
	f.recordListing()
}

// Leave stops a core after it has announced its planned stop.
func (f *Fleet) Leave(name ferryid.EntryName) {
	c := f.cores[name]
	if c == nil {
		return
	}
	c.step(ferrypeer.Leaving{})
	f.schedule(tickInterval, func() {
		if f.cores[name] == c {
			f.Crash(name)
		}
	})
}

// Freeze suspends a core; its inputs are queued.
func (f *Fleet) Freeze(name ferryid.EntryName) {
	if c := f.cores[name]; c != nil {
		c.frozen = true
	}
}

// Thaw resumes a frozen core.
func (f *Fleet) Thaw(name ferryid.EntryName) {
	if c := f.cores[name]; c != nil {
		c.Thaw()
	}
}

// Thaw resumes the core, even if another one runs under its name by now.
// A Tick is processed before the queued inputs, so that the core detects its pause first.
func (c *Core) Thaw() {
	c.frozen = false
	c.step(ferrypeer.Tick{})
	queued := c.queued
	c.queued = nil
	for _, in := range queued {
		c.step(in)
	}
}

// Partition moves the failure domains into the network partition id; initially all domains are in partition 0.
func (f *Fleet) Partition(id int, domains ...ferryid.DomainName) {
	for _, d := range domains {
		f.partition[d] = id
	}
}

// Heal ends all network partitions.
func (f *Fleet) Heal() { clear(f.partition) }

// Silence makes one connection of a core drop all messages without closing it, and returns the name of its peer.
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
