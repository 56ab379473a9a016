// Package ferryjson encodes strings as JSON, without allocation for printable ASCII.
package ferryjson
