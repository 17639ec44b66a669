package allocator

import "time"

// Turn is an entry's claim to the free places of a backend server.
type Turn struct {
	// Rank is the entry's place in the order of the entries for this server, from 0. All
	// entries compute the same order.
	Rank int
	// Interval is the time after which the entries have heard of a place that another entry took.
	Interval time.Duration
}

// Delay returns how long a server must have had that many free places until the entry may use
// one: the first ones in the order use a place each at once. With each further interval without
// use, more entries follow, so that those without callers leave no place unused for long.
func (turn Turn) Delay(free int) time.Duration {
	intervals := 0
	for entitled := free; entitled <= turn.Rank; entitled += max(1, free) * intervals {
		intervals++
	}

	return time.Duration(intervals) * turn.Interval
}
