// Package claimer ensures that a non-idempotent request with an idempotency key
// runs at most once, even if copies of it arrive at several entries. A claim in
// the key-value service names the only attempt that may run. The claim is
// recorded before the attempt is sent, and the attempt's result after it.
package claimer
