// Command ferryd is described in its --help.
package main
