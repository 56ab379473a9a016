// Package ferrycommand is the command line that the bench and the stand-ins share.
package ferrycommand
