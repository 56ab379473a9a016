// Package ferryadmin defines the wire types of an entry's operators' API and a client for it.
package ferryadmin
