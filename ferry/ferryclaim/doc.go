// Package ferryclaim runs non-idempotent calls at most once. Tickets need no write to the platform;
// idempotency keys are claimed in a journal on the platform before the call is dispatched.
package ferryclaim
