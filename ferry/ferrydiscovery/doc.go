// Package ferrydiscovery maintains the table of upstreams that the platform lists.
//
// Upstreams are kept during outages of the platform, and updates that arrive late or
// out of order have no effect.
package ferrydiscovery
