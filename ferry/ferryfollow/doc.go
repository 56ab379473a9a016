// Package ferryfollow keeps a view of one kind of the platform's objects current, by one list and then watches, and says when the view is lost and regained.
package ferryfollow
