package gauger

import "time"

// targetMemory is how long the strictest targets of a service hold after a request had them.
const targetMemory = 10 * time.Second

// Targets are those of a route; 0 stands for none.
type Targets struct {
	// FirstEvent is the target for the time to the first event, EventGap that for the longest
	// gap between two events.
	FirstEvent, EventGap time.Duration
}

// target is the strictest target of the routes of a service.
type target struct {
	value  time.Duration
	seenAt time.Time
}

// see records a target of a request.
func (target *target) see(value time.Duration, now time.Time) {
	if value > 0 && (target.value == 0 || value <= target.value || now.Sub(target.seenAt) > targetMemory) {
		target.value, target.seenAt = value, now
	}
}
