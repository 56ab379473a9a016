// Package ferrytoml decodes TOML strictly and reports every fault of a file at once, with its line and field.
package ferrytoml
