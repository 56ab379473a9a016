// Package ferryjson writes JSON strings onto a byte slice without allocating.
package ferryjson
