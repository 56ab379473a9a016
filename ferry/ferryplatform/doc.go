// Package ferryplatform is the adapter to the platform: its object API with versions, conditional updates and watches, and its instance list.
package ferryplatform
