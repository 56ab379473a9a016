// Package ferrydiscovery keeps the upstreams that the platform knows of, through lapses of the platform and late word of those that have left.
package ferrydiscovery
