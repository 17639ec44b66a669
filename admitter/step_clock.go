package admitter

import "time"

const (
	// lateShare is the share of a step after which those who must not disturb
	// others start. What starts sooner only waits for the end of the step, and
	// its prompt is read beside that of whoever arrives meanwhile.
	lateShare = 0.8
	// stepWeight is the weight of a longer step in the estimate.
	stepWeight = 0.02
)

// stepClock foretells when the engine's running step ends.
type stepClock struct {
	// boundary is when the last step ended; zero before the first.
	boundary time.Time
	// plain is the length of a step that reads no prompt: the shortest seen,
	// moving slowly towards longer ones.
	plain time.Duration
}

// end notes the end of a step.
func (clock *stepClock) end(now time.Time) {
	if !clock.boundary.IsZero() {
		length := now.Sub(clock.boundary)
		if clock.plain == 0 || length < clock.plain {
			clock.plain = length
		} else {
			clock.plain += time.Duration(stepWeight * float64(min(length, 2*clock.plain)-clock.plain))
		}
	}

	clock.boundary = now
}

// late returns the time until the running step is about to end; zero when it
// is, when it is longer than foretold, or when nothing is known.
func (clock *stepClock) late(now time.Time) time.Duration {
	from := clock.boundary.Add(time.Duration(lateShare * float64(clock.plain)))

	return max(0, from.Sub(now))
}

// startsLate tells whether a start that must not disturb others may go on now.
// Otherwise the admitter is woken when it may.
func (adaptive *Adaptive) startsLate(now time.Time) bool {
	wait := adaptive.clock.late(now)
	if wait == 0 || len(adaptive.places) == 0 {
		return true
	}

	if adaptive.waking == nil {
		adaptive.waking = time.AfterFunc(wait, adaptive.woken)
	}

	return false
}

// woken goes on with those that wait for the end of a step.
func (adaptive *Adaptive) woken() {
	adaptive.mutex.Lock()
	defer adaptive.mutex.Unlock()

	adaptive.waking = nil
	adaptive.schedule(time.Now())
}
