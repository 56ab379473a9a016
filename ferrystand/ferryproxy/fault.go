package ferryproxy

import "time"

// Fault is what a proxy does with connections.
type Fault interface{ fault() }

// Pass forwards everything.
type Pass struct{}

// Cut closes open connections and each new one.
type Cut struct{}

// Silent keeps connections open, accepts new ones and drops what either end sends; a connection once silent stays so.
type Silent struct{}

// Delay forwards each piece later.
type Delay struct{ Time time.Duration }

func (Pass) fault()   {}
func (Cut) fault()    {}
func (Silent) fault() {}
func (Delay) fault()  {}
