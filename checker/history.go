package checker

import (
	"sync"
	"time"
)

// History collects the events of one test. It is safe for concurrent use.
type History struct {
	mutex  sync.Mutex
	events []Event
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{}
}

// Add records an event. An event without a time gets the current one.
func (history *History) Add(event Event) {
	history.mutex.Lock()
	defer history.mutex.Unlock()

	if event.Timestamp.IsZero() {
		event.Timestamp = time.Now()
	}

	history.events = append(history.events, event)
}

// Events returns the events in the order they were added.
func (history *History) Events() []Event {
	history.mutex.Lock()
	defer history.mutex.Unlock()

	return append([]Event{}, history.events...)
}

// Count returns how many events of the kind there are.
func (history *History) Count(kind Kind) int {
	return len(ofKind(history.Events(), kind))
}

// ofKind returns the events of one kind.
func ofKind(events []Event, kind Kind) []Event {
	found := []Event{}

	for _, event := range events {
		if event.Kind == kind {
			found = append(found, event)
		}
	}

	return found
}
