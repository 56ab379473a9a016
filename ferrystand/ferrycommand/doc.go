// Package ferrycommand contains the command line parsing shared by ferrybench and ferrystand.
package ferrycommand
