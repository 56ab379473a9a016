// Package ferryprocess starts, watches, freezes and kills the processes of an experiment; only the test programs use it.
package ferryprocess
