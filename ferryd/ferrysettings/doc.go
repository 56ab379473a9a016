// Package ferrysettings holds the settings of one ferryd process, read from a TOML file and overridden by environment and flags.
package ferrysettings
