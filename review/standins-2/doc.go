// Command standins2 plays the cases of the second review: it starts ferrysite processes with the command of the deploy
// file, and plays the platform's store, its operator, the runners and the clients for them. It needs the standard library
// only and uses loopback addresses only.
package main
