package dispatcher

import "sync"

// maxNumbers bounds the sidecars whose number is known.
const maxNumbers = 8192

// numbers holds the number that each sidecar gave last, by replica name. A
// stale one is refused by the sidecar as not run, and then corrected.
type numbers struct {
	mutex  sync.Mutex
	values map[string]uint64
}

func newNumbers() *numbers {
	return &numbers{values: map[string]uint64{}}
}

// get returns the number, or 0 when none is known.
func (numbers *numbers) get(replica string) uint64 {
	numbers.mutex.Lock()
	defer numbers.mutex.Unlock()

	return numbers.values[replica]
}

// set takes in a number that the sidecar sent; 0 forgets it.
func (numbers *numbers) set(replica string, number uint64) {
	numbers.mutex.Lock()
	defer numbers.mutex.Unlock()

	if number == 0 {
		delete(numbers.values, replica)

		return
	}

	if len(numbers.values) >= maxNumbers {
		clear(numbers.values)
	}

	numbers.values[replica] = number
}
