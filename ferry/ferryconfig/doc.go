// Package ferryconfig holds the configuration of routed services: one versioned whole of routes, services, customers and limits, which comes into force at once and never steps back.
package ferryconfig
