// Command ferrystand is described in its --help.
package main
