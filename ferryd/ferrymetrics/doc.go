// Package ferrymetrics makes a process's root scope and the page that shows it.
package ferrymetrics
