// Package ferryengine contains the wire types of the HTTP interface of model engines, which are validated
// when decoded, and a client for it. The errors of the client tell how far a failed call had come.
package ferryengine
