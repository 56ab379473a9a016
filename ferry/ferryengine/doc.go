// Package ferryengine is the adapter to model engines: the wire types of their interface, each checked when decoded, and a client that says how far a failed call came.
package ferryengine
