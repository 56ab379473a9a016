// Command ferryctl is described in its --help.
package main
