package recorder

import (
	"slices"
	"strings"
	"sync"
)

// defaultCapacity is the number of events a process keeps.
const defaultCapacity = 8192

// Recorder keeps the newest events of one process in a ring.
type Recorder struct {
	Clock    *Clock
	Instance string

	mutex sync.Mutex
	// ring holds at most capacity events; next is where the coming one goes.
	ring     []Event
	next     int
	capacity int
}

// Option changes a Recorder at construction.
type Option func(*Recorder)

// WithCapacity sets the number of events kept.
func WithCapacity(events int) Option {
	return func(recorder *Recorder) { recorder.capacity = events }
}

// NewRecorder returns an empty recorder for the instance of that name.
func NewRecorder(instance string, options ...Option) *Recorder {
	recorder := &Recorder{Clock: NewClock(), Instance: instance, capacity: defaultCapacity}
	for _, option := range options {
		option(recorder)
	}

	return recorder
}

// Record stamps the event and keeps it, dropping the oldest when full.
func (recorder *Recorder) Record(event Event) {
	event.Stamp = recorder.Clock.Now()
	event.Instance = recorder.Instance

	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()

	if len(recorder.ring) < recorder.capacity {
		recorder.ring = append(recorder.ring, event)

		return
	}

	recorder.ring[recorder.next] = event
	recorder.next = (recorder.next + 1) % recorder.capacity
}

// Query selects events; empty fields match all.
type Query struct {
	// RequestID is that of a request or of one of its attempts, which is the
	// request's followed by a dot and the replica; either finds all attempts.
	RequestID string
	JobID     string
	// Limit bounds the answer to the newest events; 0 means all that are kept.
	Limit int
}

// Matches tells whether the event is asked for.
func (query Query) Matches(event Event) bool {
	return (query.RequestID == "" || requestOf(query.RequestID) == requestOf(event.RequestID)) &&
		(query.JobID == "" || query.JobID == event.JobID)
}

// requestOf cuts the replica off an attempt's ID.
func requestOf(id string) string {
	request, _, _ := strings.Cut(id, ".")

	return request
}

// Find returns the kept events that match, oldest first.
func (recorder *Recorder) Find(query Query) []Event {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()

	found := []Event{}

	for offset := range recorder.ring {
		event := recorder.ring[(recorder.next+offset)%len(recorder.ring)]
		if query.Matches(event) {
			found = append(found, event)
		}
	}

	if query.Limit > 0 && len(found) > query.Limit {
		found = found[len(found)-query.Limit:]
	}

	return found
}

// Merge puts the events of several processes into one order.
func Merge(lists ...[]Event) []Event {
	merged := slices.Concat(lists...)
	slices.SortStableFunc(merged, func(left, right Event) int {
		switch {
		case left.Stamp < right.Stamp:
			return -1
		case left.Stamp > right.Stamp:
			return 1
		default:
			return 0
		}
	})

	return merged
}
