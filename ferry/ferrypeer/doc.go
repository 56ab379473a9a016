// Package ferrypeer joins the entry instances into an overlay with a bounded number of links each, and spreads membership and other packages' topics over it.
package ferrypeer
