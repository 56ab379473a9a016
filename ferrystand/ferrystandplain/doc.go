// Package ferrystandplain is the stand-in for a plain service: it answers any call, keeps a record of what ran, and has fault switches.
package ferrystandplain
