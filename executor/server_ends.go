package executor

import "sync"

// serverEnds counts how often the backend server ended before it began to answer. All runs
// that notice the same end get the same count.
type serverEnds struct {
	mutex sync.Mutex
	count uint64
	// ended is true since the last end, until the server takes a request again.
	ended bool
}

// recordEnd records that a run noticed that the server has ended, and returns the count.
func (ends *serverEnds) recordEnd() uint64 {
	ends.mutex.Lock()
	defer ends.mutex.Unlock()

	if !ends.ended {
		ends.count++
		ends.ended = true
	}

	return ends.count
}

// recordReached records that the server took a request.
func (ends *serverEnds) recordReached() {
	ends.mutex.Lock()
	defer ends.mutex.Unlock()

	ends.ended = false
}
