// Command ferrybench runs simulated experiments, load tests and measurements of cactusferry. See its --help
// for the subcommands.
package main
