// Package ferryedge puts an entry for routed services together: callers' connections, configuration and upstreams from the platform, the overlay of entries and planned stops.
package ferryedge
