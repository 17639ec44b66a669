package recorder

import (
	"slices"
	"strings"
	"sync"
)

// defaultCapacity is the number of events that a process keeps by default.
const defaultCapacity = 8192

// Recorder keeps the newest events of one process in a ring buffer.
type Recorder struct {
	Clock    *Clock
	Instance string

	mutex sync.Mutex
	// ring has at most capacity events. When it is full, nextIndex is the index
	// of the oldest event, which the next one replaces.
	ring      []Event
	nextIndex int
	capacity  int
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

// Record stamps and stores the event. If the ring is full, it replaces the
// oldest one.
func (recorder *Recorder) Record(event Event) {
	event.Stamp = recorder.Clock.Now()
	event.Instance = recorder.Instance

	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()

	if len(recorder.ring) < recorder.capacity {
		recorder.ring = append(recorder.ring, event)

		return
	}

	recorder.ring[recorder.nextIndex] = event
	recorder.nextIndex = (recorder.nextIndex + 1) % recorder.capacity
}

// Query selects events; empty fields match all.
type Query struct {
	// RequestID is the ID of a request or of one of its attempts. An attempt's
	// ID is the request's followed by a dot and the replica. Either matches the
	// request and all of its attempts.
	RequestID string
	JobID     string
	// Limit is how many of the newest matching events are returned; 0 means all.
	Limit int
}

// Matches returns whether the query selects the event.
func (query Query) Matches(event Event) bool {
	return (query.RequestID == "" || requestIDOf(query.RequestID) == requestIDOf(event.RequestID)) &&
		(query.JobID == "" || query.JobID == event.JobID)
}

// requestIDOf returns the request's ID, given that of the request or an attempt.
func requestIDOf(id string) string {
	request, _, _ := strings.Cut(id, ".")

	return request
}

// Find returns the matching events, oldest first.
func (recorder *Recorder) Find(query Query) []Event {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()

	found := []Event{}

	for offset := range recorder.ring {
		event := recorder.ring[(recorder.nextIndex+offset)%len(recorder.ring)]
		if query.Matches(event) {
			found = append(found, event)
		}
	}

	if query.Limit > 0 && len(found) > query.Limit {
		found = found[len(found)-query.Limit:]
	}

	return found
}

// Merge returns the events of several processes, ordered by their stamps.
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
