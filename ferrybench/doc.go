// Command ferrybench is described in its --help.
package main
