// Command ferryd runs one entry of the router; its flags and subcommands are described by ferryd --help.
package main
