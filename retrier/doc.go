// Package retrier limits the load that retries add to a fleet: a budget allows
// retries in proportion to successes, and a random pause precedes each retry.
package retrier
