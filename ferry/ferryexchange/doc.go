// Package ferryexchange sends single HTTP/1.1 requests over connections that it owns, never repeats one by itself, and knows for each that failed whether a byte of it was handed over.
package ferryexchange
