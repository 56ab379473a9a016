// Package ferrynode assembles and runs one entry instance: its listeners, overlay, services and background loops.
package ferrynode
