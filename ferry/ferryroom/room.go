package ferryroom

import (
	"time"

	"cactusferry.dev/ferry/ferryid"
)

// MaxAge is the age from which a report no longer counts.
const MaxAge = 4 * time.Second

// Engine is what is known about one engine: Used and Room are its used and total KV cache memory in tokens times
// layers.
type Engine struct {
	Layers     ferryid.LayerRange
	Used, Room int64
	Running    int
	// Age is the age of the report.
	Age time.Duration
}

// Room is the KV cache memory of the engines of one failure domain.
type Room struct {
	// Fill is the used fraction at the layer with the least room, including the expected growth of running
	// responses; it may exceed 1.
	Fill float64
	// Layer is the layer with the least room.
	Layer ferryid.Layer
	// Free is the free memory at that layer, for requests over all layers.
	Free ferryid.Tokens
	// Age is the age of the oldest report that counts.
	Age time.Duration
	// Known is false unless at least half of the engines that hold layers have a recent report. The other fields
	// are then zero.
	Known bool
}

// Calculator computes rooms and keeps its buffer between calls. It is not safe for concurrent use.
type Calculator struct {
	layers []layer
}

// layer holds the sums of one layer over the engines that hold it, in tokens.
type layer struct {
	used, room float64
}

// Of computes the room. growth is the additional memory in tokens that each running request is expected to need;
// a negative one counts as 0.
func Of(layers int, growth ferryid.Tokens, engines []Engine) Room {
	var c Calculator
	return c.Of(layers, growth, engines)
}

// Of is like the function Of and reuses the buffer of the Calculator.
//
// A report that is MaxAge old, has a negative number or has zero room counts as missing. One with more memory
// used than room counts as full. The part of a range that lies beyond the model's layers is not counted.
func (c *Calculator) Of(layers int, growth ferryid.Tokens, engines []Engine) Room {
	if layers <= 0 {
		return Room{}
	}
	c.reset(layers)
	growth = max(0, growth)
	holders, reported := 0, 0
	var age time.Duration
	for i := range engines {
		e := &engines[i]
		if e.Layers.Len() == 0 || int(e.Layers.From) >= layers {
			continue
		}
		holders++
		if !e.counts() {
			continue
		}
		reported++
		age = max(age, e.Age)
		c.add(e, float64(growth))
	}
	if reported == 0 || 2*reported < holders {
		return Room{}
	}
	r := c.least()
	r.Age, r.Known = age, true
	return r
}

// counts reports whether the engine has a valid and recent report.
func (e *Engine) counts() bool {
	return e.Room > 0 && e.Used >= 0 && e.Running >= 0 && e.Age >= 0 && e.Age < MaxAge
}

func (c *Calculator) reset(layers int) {
	if cap(c.layers) < layers {
		c.layers = make([]layer, layers)
	}
	c.layers = c.layers[:layers]
	clear(c.layers)
}

// add adds the memory of an engine, spread evenly over its layers.
func (c *Calculator) add(e *Engine, growth float64) {
	n := float64(e.Layers.Len())
	used := float64(min(e.Used, e.Room))/n + growth*float64(e.Running)
	room := float64(e.Room) / n
	held := c.layers[e.Layers.From:min(int(e.Layers.To), len(c.layers))]
	for i := range held {
		held[i].used += used
		held[i].room += room
	}
}

// least returns the fill and free memory of the layer with the highest fill. A layer that no reported engine holds
// has fill 1 and no free memory; of layers with equal fill the one with the least free memory counts, then the
// first.
func (c *Calculator) least() Room {
	var out Room
	for i, l := range c.layers {
		fill, free := 1.0, 0.0
		if l.room > 0 {
			fill, free = l.used/l.room, max(0, l.room-l.used)
		}
		if i == 0 || fill > out.Fill || fill == out.Fill && ferryid.Tokens(free) < out.Free {
			out.Fill, out.Layer, out.Free = fill, ferryid.Layer(i), ferryid.Tokens(free)
		}
	}
	return out
}
