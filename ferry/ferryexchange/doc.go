// Package ferryexchange is an HTTP/1.1 client that never retries by itself and reports for each failed
// request whether any byte of it was written to the connection.
package ferryexchange
