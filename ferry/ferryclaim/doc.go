// Package ferryclaim runs non-idempotent calls at most once, by tickets that need no platform write and by idempotency keys claimed first in a journal on the platform.
package ferryclaim
