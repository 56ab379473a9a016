package ferryorder

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cactusferry.dev/ferry/ferryid"
)

// GroupSize is the maximum number of engines in a group; each group is read by one entry.
const GroupSize = 16

// engineSet is a bit set of a group's engines by their index in the group.
type engineSet uint16

func (s engineSet) has(i int) bool {
	return s&(1<<i) != 0
}

// turn is a logical clock that orders the reads and orders of a Core.
type turn uint64

// GroupAsk is a request for the state of some engines of a group.
type GroupAsk struct {
	Service ferryid.ServiceName `cbor:"1,keyasint"`
	// Group is the index of the group: GroupSize consecutive engines each, in the order of the document.
	Group int `cbor:"2,keyasint"`
	// Sum is the checksum of the group's wanted state; the reader must have the same wanted state.
	Sum     uint64    `cbor:"3,keyasint"`
	Engines engineSet `cbor:"4,keyasint"`
	turn    turn
}

// GroupAnswer is the state of the requested engines.
//
// Engines that are neither in Differ nor in Unread are ready and in their wanted state.
type GroupAnswer struct {
	Unread engineSet     `cbor:"1,keyasint,omitempty"`
	Differ []GroupReport `cbor:"2,keyasint,omitempty"`
}

// GroupReport is the report of one engine; Place is its index in the group.
type GroupReport struct {
	_      struct{} `cbor:",toarray"`
	Place  int
	Report Report
}

// GroupError is returned by a reader that has another document than the sender of the GroupAsk, and thus another
// wanted state of the group.
type GroupError struct {
	Service ferryid.ServiceName
	Group   int
}

func (e *GroupError) Error() string {
	return fmt.Sprintf("engines %d of service %s are wanted otherwise here", e.Group, e.Service)
}

// group returns the engines of a group.
func (w Wanted) group(i int) []WantedEngine {
	if i < 0 || i >= w.groups() {
		return nil
	}
	return w.Engines[i*GroupSize : min(len(w.Engines), (i+1)*GroupSize)]
}

func (w Wanted) groups() int {
	return (len(w.Engines) + GroupSize - 1) / GroupSize
}

func (c *Core) groupChecksums() []uint64 {
	if c.checksums == nil {
		c.checksums = make([]uint64, c.wanted.groups())
		for i := range c.checksums {
			c.checksums[i] = checksumOf(c.wanted.group(i))
		}
	}
	return c.checksums
}

func checksumOf(rs []WantedEngine) uint64 {
	b, err := json.Marshal(rs)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(b)
}

// ReadGroup reads the requested engines concurrently, or returns a *GroupError.
func ReadGroup(ctx context.Context, w Wanted, a GroupAsk, read func(context.Context, string) (Report, error)) (GroupAnswer, error) {
	rs := w.group(a.Group)
	if w.Service != a.Service || len(rs) == 0 || checksumOf(rs) != a.Sum {
		return GroupAnswer{}, &GroupError{a.Service, a.Group}
	}
	var out GroupAnswer
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i, r := range rs {
		if !a.Engines.has(i) {
			continue
		}
		wg.Go(func() {
			rep, err := read(ctx, r.Address)
			mu.Lock()
			defer mu.Unlock()
			out.add(i, r, rep, err)
		})
	}
	wg.Wait()
	return out, nil
}

func (a *GroupAnswer) add(i int, r WantedEngine, rep Report, err error) {
	switch {
	case err != nil:
		a.Unread |= 1 << i
	case !rep.Ready || rep.Target != r.Target:
		a.Differ = append(a.Differ, GroupReport{Place: i, Report: rep})
	}
}

// ApplyAnswer applies an answer; reads that started before an engine's last order or report are ignored.
func (c *Core) ApplyAnswer(a GroupAsk, ans GroupAnswer, now time.Time) {
	rs := c.wanted.group(a.Group)
	if len(rs) == 0 || a.Sum != c.groupChecksums()[a.Group] {
		return
	}
	reports := map[int]Report{}
	for _, g := range ans.Differ {
		reports[g.Place] = g.Report
	}
	for i, w := range rs {
		r := c.engines[w.Name]
		if !a.Engines.has(i) || a.turn <= r.turn {
			continue
		}
		if ans.Unread.has(i) {
			c.ReadFailed(w.Name, now)
			continue
		}
		rep, differs := reports[i]
		if !differs {
			rep = Report{Target: w.Target, Ready: true}
		}
		r.turn = a.turn
		c.ApplyReport(w.Name, rep, now)
	}
}

// AskFailed records that the requested engines could not be read.
func (c *Core) AskFailed(a GroupAsk, now time.Time) {
	c.ApplyAnswer(a, GroupAnswer{Unread: a.Engines}, now)
}
