// Package ferrylease implements leases on the platform's object API by conditional updates.
//
// Each acquisition has a higher fencing number than the one before.
package ferrylease
