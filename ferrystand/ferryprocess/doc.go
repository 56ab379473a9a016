// Package ferryprocess starts, signals and kills the processes of an experiment. Only test programs use it.
package ferryprocess
