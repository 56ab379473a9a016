// Package ferryhealth judges an upstream by the calls that it fails, takes it out for a while and lets it prove itself again.
package ferryhealth
