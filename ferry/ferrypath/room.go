package ferrypath

import (
	"time"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryroom"
)

// roomInterval is how long a computed room is used. Reports arrive a few times per second.
const roomInterval = 50 * time.Millisecond

// roomState is the room as last computed.
type roomState struct {
	room       ferryroom.Room
	at         time.Time
	calculator ferryroom.Calculator
	engines    []ferryroom.Engine
}

// overflowFill is the fill of this failure domain from which the engines of the others count too.
const overflowFill = 0.7

// Room returns the memory for requests of the engines of this entry's failure domain, or of all engines if that is
// short and they are less full.
func (c *Chooser) Room() ferryroom.Room {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.model == nil {
		return ferryroom.Room{}
	}
	return c.updateRoom(c.opts.Clock.Now())
}

// updateRoom returns the room, computed anew if it is old.
func (c *Chooser) updateRoom(now time.Time) ferryroom.Room {
	if s := &c.room; s.at.IsZero() || now.Sub(s.at) >= roomInterval {
		s.at = now
		s.room = c.computeRoom(now)
	}
	return c.room.room
}

func (c *Chooser) computeRoom(now time.Time) ferryroom.Room {
	growth := ferryid.Tokens(expectedGrowth * c.model.UsualAnswer)
	inDomain := c.roomOf(now, growth, func(e *engine) bool { return e.up.FailureDomain == c.opts.Domain })
	if inDomain.Known && inDomain.Fill < overflowFill {
		return inDomain
	}
	all := c.roomOf(now, growth, func(*engine) bool { return true })
	if all.Known && (!inDomain.Known || all.Fill < inDomain.Fill) {
		return all
	}
	return inDomain
}

// roomOf computes the room of the engines that are counted and not down.
func (c *Chooser) roomOf(now time.Time, growth ferryid.Tokens, counted func(*engine) bool) ferryroom.Room {
	s := &c.room
	s.engines = s.engines[:0]
	for _, e := range c.engines {
		if e.down || !counted(e) {
			continue
		}
		r := ferryroom.Engine{Layers: e.up.Layers, Age: ferryroom.MaxAge}
		if !e.reportedAt.IsZero() {
			// Another entry's clock, by which reports are dated, may be ahead of this one's.
			r.Used, r.Room, r.Running, r.Age = e.reported.Used, e.reported.Room, e.reported.Running, max(0, now.Sub(e.reportedAt))
		}
		s.engines = append(s.engines, r)
	}
	return s.calculator.Of(c.model.Layers, growth, s.engines)
}
