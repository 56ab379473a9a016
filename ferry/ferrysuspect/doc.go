// Package ferrysuspect finds the prompt parts that crash engines, and blocks the requests that hold them.
//
// A part is suspect from the first crash of an engine that had not yet written an answer on it, and blocked from the
// second on, until an engine writes on it again. Entries share what they observe; each draws the same conclusions.
package ferrysuspect
