// Package ferrykeys loads TLS key pairs and takes up renewed files without a restart.
package ferrykeys
