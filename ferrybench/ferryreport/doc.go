// Package ferryreport writes the results of experiments and load runs as text, JSON and plots.
package ferryreport
