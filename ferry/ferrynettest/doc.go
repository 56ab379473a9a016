// Package ferrynettest joins the servers and clients of a test without sockets, so that a synctest bubble sees when all of its goroutines wait.
package ferrynettest
