// Package ferryreport writes the results of experiments and loads as text, JSON and plots.
package ferryreport
