// Package ferrylease holds leases in the object API by conditional update, each acquisition with a higher fencing number.
package ferrylease
