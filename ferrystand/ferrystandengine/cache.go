package ferrystandengine

import (
	"container/list"
	"net/http"
	"strconv"
	"time"

	"cactusferry.dev/ferry/ferryengine"
	"cactusferry.dev/ferry/ferryengine/ferryenginetest"
)

const (
	maxEvents    = 4096
	gapEvery     = 7
	prefixTokens = 16
)

type event struct {
	ferryengine.CacheEvent
	at time.Time
}

// prefixCache keeps a bounded number of prompt prefixes; the least recently used gives way.
type prefixCache struct {
	size   int
	order  *list.List
	byName map[string]*list.Element
	events []event
	seq    uint64
}

func newPrefixCache(size int) *prefixCache {
	return &prefixCache{size: size, order: list.New(), byName: map[string]*list.Element{}}
}

// use stores a prompt's prefixes and returns how many of its tokens were cached before.
func (c *prefixCache) use(prompt string, now time.Time) int {
	cached := 0
	for i, name := range ferryenginetest.Prefixes(prompt) {
		if el, ok := c.byName[name]; ok {
			c.order.MoveToFront(el)
			cached = (i + 1) * prefixTokens
			continue
		}
		c.byName[name] = c.order.PushFront(name)
		c.note(name, true, now)
	}
	for c.order.Len() > c.size {
		name := c.order.Remove(c.order.Back()).(string)
		delete(c.byName, name)
		c.note(name, false, now)
	}
	return cached
}

func (c *prefixCache) note(name string, stored bool, now time.Time) {
	c.seq++
	if len(c.events) >= maxEvents {
		c.events = c.events[1:]
	}
	c.events = append(c.events, event{ferryengine.CacheEvent{Seq: c.seq, Prefix: name, Stored: stored}, now})
}

// after returns the events older than the lag, with a gap at every few.
func (c *prefixCache) after(seq uint64, before time.Time) ferryengine.CacheEvents {
	out := ferryengine.CacheEvents{Events: []ferryengine.CacheEvent{}}
	for _, ev := range c.events {
		if ev.Seq > seq && ev.Seq%gapEvery != 0 && !ev.at.After(before) {
			out.Events = append(out.Events, ev.CacheEvent)
		}
	}
	return out
}

func (e *Engine) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	seq, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	out := e.cache.after(seq, e.clock.Now().Add(-e.cfg.EventLag))
	e.mu.Unlock()
	writeJSON(w, out)
}
