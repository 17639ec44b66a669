package batcher

import (
	"time"

	"limpetrail/placer"
	"limpetrail/retrier"
)

const (
	// freeServerEnds is how many backend servers may end under an item before it is suspected.
	// One may have ended by itself.
	freeServerEnds = 2
	// firstTrialDelay is the delay of a suspected item. Each further end doubles it: servers that
	// end for another reason are back, or others are found, within a few seconds.
	firstTrialDelay = time.Second
	// aloneTrialDelay is the delay after a suspected item was alone at a server that ended, and
	// no other server ended then. Each further such end doubles it.
	aloneTrialDelay = 12 * time.Second
	maxTrialDelay   = 10 * time.Minute
	// manyServerEnds is more than servers that crash by themselves end under one item. From then on
	// the delay is at least aloneTrialDelay and quadruples: the trials of other items that end servers
	// may each time keep this one from being alone, and hold it up.
	manyServerEnds = 5
	// maxServerEnds is more than the delays tell apart.
	maxServerEnds = 16
)

// serverEnd is the end of a backend server before it began to answer an item.
type serverEnd struct {
	server  placer.Server
	endedAt time.Time
	// alone is true if nothing else was known to run at the server.
	alone bool
}

// serverEnds are the ends of servers under one item since it was last answered.
type serverEnds struct {
	// ends are in the order in which the servers ended, the newest maxServerEnds.
	ends []serverEnd
	// jitter spreads the delays of items that ended servers together. It is drawn at each end.
	jitter time.Duration
}

func (ends *serverEnds) add(added serverEnd) {
	ends.ends = append(ends.ends, added)
	ends.ends = ends.ends[max(0, len(ends.ends)-maxServerEnds):]
	ends.jitter = retrier.AddJitter(firstTrialDelay) - firstTrialDelay
}

// last returns when the last server ended; the zero time if none did.
func (ends *serverEnds) last() time.Time {
	if len(ends.ends) == 0 {
		return time.Time{}
	}

	return ends.ends[len(ends.ends)-1].endedAt
}

func (ends *serverEnds) servers() []placer.Server {
	servers := make([]placer.Server, 0, len(ends.ends))
	for _, end := range ends.ends {
		servers = append(servers, end.server)
	}

	return servers
}

// delay returns how long after the last end the item may be tried again, by the number of ends
// that nothing else explains and of those that the item met alone. It is 0 if the item is not
// suspected.
func (ends *serverEnds) delay(unexplained, alone int) time.Duration {
	if unexplained < freeServerEnds {
		return 0
	}

	delay := doubled(firstTrialDelay, unexplained-freeServerEnds)
	if alone > 0 {
		delay = max(delay, doubled(aloneTrialDelay, alone-1))
	}

	if unexplained >= manyServerEnds {
		delay = max(delay, doubled(aloneTrialDelay, 2*(unexplained-manyServerEnds)))
	}

	return delay + ends.jitter
}

// doubled doubles a delay so often, at most to maxTrialDelay.
func doubled(delay time.Duration, times int) time.Duration {
	for range times {
		delay = min(2*delay, maxTrialDelay)
	}

	return delay
}
