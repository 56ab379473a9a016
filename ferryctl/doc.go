// Command ferryctl is the command-line client of the operator API: it applies service documents and shows the
// state of the entries.
package main
