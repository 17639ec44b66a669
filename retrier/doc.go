// Package retrier bounds what repeated attempts add to a fleet's load: a
// budget earned by successes, and a randomised pause before each attempt.
package retrier
