// Package claimer keeps a non-idempotent request that carries an idempotency
// key from running twice, whichever entries its copies come through. A claim
// in the key-value service names the one attempt that may run; it is recorded
// before the attempt leaves, and its result after.
package claimer
