// Command ferryctl is the operators' command: it changes service documents and shows what the entries do.
package main
