// Package ferryorder brings the engines of a service to the state that its document asks for, by orders that carry a fencing number.
package ferryorder
