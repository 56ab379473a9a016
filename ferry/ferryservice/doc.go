// Package ferryservice defines the service document, which describes one service, with its defaults and
// validation.
package ferryservice
