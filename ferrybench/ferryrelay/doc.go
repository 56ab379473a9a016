// Package ferryrelay measures what passing tokens on costs one live ferryd.
package ferryrelay
