// Package ferrysettings defines the settings of a ferryd process: a TOML file, overridden
// by environment and flags.
package ferrysettings
