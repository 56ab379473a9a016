// Package ferrychoice measures what choosing among a subset of the engines costs against one entry that knows all, with the pools that ferryd uses on a virtual clock.
package ferrychoice
