package placer

import "time"

const (
	// initialStay is taken for the length of a run before one has ended.
	initialStay = 500 * time.Millisecond
	// leastRetry is the shortest time to come back after: a place needs longer
	// to become free than a connection to be made.
	leastRetry = 50 * time.Millisecond
	// absentRetry is when a service without a usable server is tried again; a
	// health check takes about as long to find one.
	absentRetry = 500 * time.Millisecond
)

// forecast returns how long new work waits behind others while places become
// free one after the other: the load of a peak that exceeds all places.
func forecast(running, ahead int, stay time.Duration) time.Duration {
	return stay * time.Duration(ahead+1) / time.Duration(max(1, running))
}
