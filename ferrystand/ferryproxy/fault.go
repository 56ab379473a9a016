package ferryproxy

import "time"

// Fault is the treatment of a connection by a proxy.
type Fault interface{ fault() }

// Pass forwards everything.
type Pass struct{}

// Cut closes open and new connections.
type Cut struct{}

// Silent keeps connections open, accepts new ones and discards
// the data of both ends. A silent connection remains silent.
type Silent struct{}

// Delay forwards the data of each read after a delay.
type Delay struct{ Time time.Duration }

func (Pass) fault()   {}
func (Cut) fault()    {}
func (Silent) fault() {}
func (Delay) fault()  {}
