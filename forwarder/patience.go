package forwarder

import (
	"time"

	"limpetrail/matcher"
)

const (
	// queueShare of the latency target may pass in the queue; the rest is for
	// the first bytes, which take about 60 ms at a full engine.
	queueShare = 0.7
	// firstShare of the latency target may pass before an attempt is made
	// elsewhere, so that the second one can still be in time.
	firstShare = 0.5
	// gapShare of the longest pause in time may pass before a stream goes on
	// elsewhere.
	gapShare = 0.6
	// leastGap is the least silence that is taken for a fault: an engine that
	// reads a long prompt makes its other streams wait that long.
	leastGap = 100 * time.Millisecond
	// resumePatience is how long a stream that was cut waits for a place: its
	// caller gives up after about two seconds of silence.
	resumePatience = time.Second
	// defaultTarget stands in for routes without a latency target.
	defaultTarget = time.Second
	// maxBounces bounds the servers that turn a call away before it is refused.
	maxBounces = 4
)

// target is the route's latency target.
func target(route *matcher.Route) time.Duration {
	if route.Target <= 0 {
		return defaultTarget
	}

	return route.Target
}

func share(part float64, whole time.Duration) time.Duration {
	return time.Duration(part * float64(whole))
}

// silence is how long a stream may be silent before it goes on elsewhere.
func silence(route *matcher.Route) time.Duration {
	if route.GapTarget <= 0 {
		return defaultTarget
	}

	return max(leastGap, share(gapShare, route.GapTarget))
}
