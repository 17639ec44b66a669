package sequencer

import (
	"sync"
	"time"
)

const (
	// initialTime is about what an item takes, before one was seen.
	initialTime = 5 * time.Second
	// smoothing is the weight of a new figure in a mean.
	smoothing = 0.1
	// leastEvents of a run tell its pace; in shorter ones the reading of the
	// prompt weighs too much.
	leastEvents = 10
	// leastPart of an item is left of one that has more events than usual.
	leastPart = 0.1
)

// Pace foretells how long items still run, from those that ended.
type Pace struct {
	mutex sync.Mutex
	// events is the mean of whole items; 0 before the first.
	events float64
	// interval is the mean time between two events; 0 if unknown.
	interval time.Duration
}

// NewPace returns a pace that has seen nothing.
func NewPace() *Pace {
	return &Pace{}
}

// Run takes in that an attempt made so many events in a time.
func (pace *Pace) Run(events int, took time.Duration) {
	if events < leastEvents {
		return
	}

	pace.mutex.Lock()
	defer pace.mutex.Unlock()

	interval := took / time.Duration(events)
	if pace.interval == 0 {
		pace.interval = interval
	}

	pace.interval += time.Duration(smoothing * float64(interval-pace.interval))
}

// Whole takes in how many events a whole item had.
func (pace *Pace) Whole(events int) {
	pace.mutex.Lock()
	defer pace.mutex.Unlock()

	if pace.events == 0 {
		pace.events = float64(events)
	}

	pace.events += smoothing * (float64(events) - pace.events)
}

// Left returns how long an item with so many events still runs.
func (pace *Pace) Left(events int) time.Duration {
	pace.mutex.Lock()
	defer pace.mutex.Unlock()

	if pace.events == 0 || pace.interval == 0 {
		return initialTime
	}

	return time.Duration(max(leastPart*pace.events, pace.events-float64(events)) * float64(pace.interval))
}
