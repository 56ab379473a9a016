// Package ferrylog limits the rate of log lines, so that a flood of requests does not flood the log.
package ferrylog
