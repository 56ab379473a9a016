// Package ferryfleet decodes and validates descriptions of a model, the engines that serve it and the demand.
package ferryfleet
