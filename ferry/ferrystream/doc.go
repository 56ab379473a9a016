// Package ferrystream puts the tokens of a streamed answer in order, seals the ids that resume it at any entry, and writes it in the shapes that callers know.
package ferrystream
