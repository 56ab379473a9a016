// Package ferryplatform is the client of the platform's object API, with versions, conditional updates and
// watches, and of its instance list.
package ferryplatform
