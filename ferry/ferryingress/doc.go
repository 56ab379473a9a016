// Package ferryingress accepts callers' HTTP/1.1 connections, reads whole requests within the limits in force and writes answers that cannot look complete unless they are.
package ferryingress
