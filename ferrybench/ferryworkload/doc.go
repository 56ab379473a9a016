// Package ferryworkload holds the workloads of experiments: who asks for what and when, on which runners, with which faults.
package ferryworkload
