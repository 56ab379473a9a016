// Package ferrystandplain is a stand-in for a plain service: it answers
// any call, records the calls that ran, and has fault switches.
package ferrystandplain
