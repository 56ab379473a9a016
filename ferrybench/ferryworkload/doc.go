// Package ferryworkload decodes and validates workloads and generates their arrivals. A workload describes
// the customers, kinds of calls, offered load, runners and injected faults of an experiment.
package ferryworkload
