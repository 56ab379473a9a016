// Package ferryedge assembles an entry for routed services.
//
// It combines the callers' listener, the configuration and upstreams from the platform, the overlay of
// entries, the placement of model layers and planned stops.
package ferryedge
