// Package ferrylog bounds how many lines a part of a process logs, so that a flood of requests does not become a flood of lines.
package ferrylog
