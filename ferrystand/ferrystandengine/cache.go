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

// prefixCache is an LRU cache of prompt prefixes with a log of its changes.
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

// use caches the prefixes of a prompt and returns how many of its tokens were cached before.
func (c *prefixCache) use(prompt string, now time.Time) int {
	cached := 0
	for i, name := range ferryenginetest.Prefixes(prompt) {
		if el, ok := c.byName[name]; ok {
			c.order.MoveToFront(el)
			cached = (i + 1) * prefixTokens
			continue
		}
		c.byName[name] = c.order.PushFront(name)
		c.record(name, true, now)
	}
	for c.order.Len() > c.size {
		name := c.order.Remove(c.order.Back()).(string)
		delete(c.byName, name)
		c.record(name, false, now)
	}
	return cached
}

func (c *prefixCache) record(name string, stored bool, now time.Time) {
	c.seq++
	if len(c.events) >= maxEvents {
		c.events = c.events[1:]
	}
	c.events = append(c.events, event{ferryengine.CacheEvent{Seq: c.seq, Prefix: name, Stored: stored}, now})
}

// eventsAfter returns the events after a sequence number that are not younger than the given time.
// It omits every seventh event, which makes gaps in the sequence.
func (c *prefixCache) eventsAfter(seq uint64, before time.Time) ferryengine.CacheEvents {
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
	out := e.cache.eventsAfter(seq, e.clock.Now().Add(-e.cfg.EventLag))
	e.mu.Unlock()
	writeJSON(w, out)
}
