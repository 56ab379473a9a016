// Package ferryconfig contains the configuration of the routed services: routes,
// services, customers and limits.
//
// A configuration has one version and is replaced as a whole, only by a configuration with a higher version.
package ferryconfig
