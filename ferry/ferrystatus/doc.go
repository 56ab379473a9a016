// Package ferrystatus decides which status codes are final ones of HTTP, and rejects answers with any other status.
package ferrystatus
