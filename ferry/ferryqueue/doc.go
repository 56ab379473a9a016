// Package ferryqueue decides which waiting work of a service runs next and which is refused.
package ferryqueue
