// Package ferryring provides the bounded rings that join duties, each with a stated rule for what gives way when it is full.
package ferryring
