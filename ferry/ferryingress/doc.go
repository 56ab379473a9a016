// Package ferryingress is an HTTP/1.x server for callers. It reads complete requests within configurable
// limits, and never terminates an incomplete answer as if it were complete.
package ferryingress
