// Package ferrytoml decodes TOML strictly and reports all faults of a file at once, with their lines and
// fields.
package ferrytoml
