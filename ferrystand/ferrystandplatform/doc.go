// Package ferrystandplatform is the stand-in for the platform: its object API and instance list over HTTP, with fault switches.
package ferrystandplatform
