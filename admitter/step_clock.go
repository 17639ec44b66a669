package admitter

import "time"

const (
	// nearEndShare is the share of a step after which paced requests may start.
	// A request that starts sooner only waits for the end of the step, and its
	// prompt is read together with those of requests that arrive meanwhile.
	nearEndShare = 0.8
	// longerStepWeight is the weight of a longer step in the estimate of
	// decodeLength.
	longerStepWeight = 0.02
)

// stepClock estimates when the engine's running step ends.
type stepClock struct {
	// lastEnd is when the last step ended; zero before the first.
	lastEnd time.Time
	// decodeLength is the duration of a step that reads no prompt: the shortest
	// seen, adjusted slowly towards longer ones.
	decodeLength time.Duration
}

// recordEnd records the end of a step.
func (clock *stepClock) recordEnd(now time.Time) {
	if !clock.lastEnd.IsZero() {
		length := now.Sub(clock.lastEnd)
		if clock.decodeLength == 0 || length < clock.decodeLength {
			clock.decodeLength = length
		} else {
			clock.decodeLength += time.Duration(longerStepWeight * float64(min(length, 2*clock.decodeLength)-clock.decodeLength))
		}
	}

	clock.lastEnd = now
}

// untilNearEnd returns the time until the running step is about to end; zero if
// it already is, if it takes longer than estimated, or if nothing is known.
func (clock *stepClock) untilNearEnd(now time.Time) time.Duration {
	nearEnd := clock.lastEnd.Add(time.Duration(nearEndShare * float64(clock.decodeLength)))

	return max(0, nearEnd.Sub(now))
}

// mayStartPaced reports whether a paced request may start now. If not, it sets
// a timer for when it may.
func (adaptive *Adaptive) mayStartPaced(now time.Time) bool {
	wait := adaptive.clock.untilNearEnd(now)
	if wait == 0 || len(adaptive.places) == 0 {
		return true
	}

	if adaptive.wakeTimer == nil {
		adaptive.wakeTimer = time.AfterFunc(wait, adaptive.onWakeTimer)
	}

	return false
}

// onWakeTimer schedules the requests that wait for the end of a step.
func (adaptive *Adaptive) onWakeTimer() {
	adaptive.mutex.Lock()
	defer adaptive.mutex.Unlock()

	adaptive.wakeTimer = nil
	adaptive.schedule(time.Now())
}
