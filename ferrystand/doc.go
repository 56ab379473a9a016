// Command ferrystand runs stand-ins for the external systems
// of ferryd, a demo and fault tests; see its --help.
package main
