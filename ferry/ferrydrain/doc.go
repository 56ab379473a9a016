// Package ferrydrain excludes leaving upstreams from new work and stops an entry
// without aborting open requests.
package ferrydrain
