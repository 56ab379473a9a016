// Package ferryadmin holds the wire types of the operators' API of an entry, and a client for it.
package ferryadmin
