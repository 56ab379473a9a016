// Package ferryfollow keeps a view of one kind of platform objects current by a list followed by watches, and
// reports when the view may be stale.
package ferryfollow
