// Package ferrymemory bounds the bytes that a process holds at once of what others send.
package ferrymemory
