// Package ferrystream orders the tokens of a streamed answer, encodes them as events in the completions
// and chat formats, and creates the sealed event ids from which any entry can resume the stream.
package ferrystream
