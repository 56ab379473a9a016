// Package ferryrelay measures the resources that ferryd processes use to relay streams, and while idle.
package ferryrelay
