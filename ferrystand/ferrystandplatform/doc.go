// Package ferrystandplatform is a stand-in for the platform: the
// object API and the instance list over HTTP, with fault switches.
package ferrystandplatform
