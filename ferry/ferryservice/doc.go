// Package ferryservice holds the service document: the one description of a service that its owners change.
package ferryservice
