// Package ferrykeys loads TLS key pairs and reloads renewed files without a restart.
package ferrykeys
