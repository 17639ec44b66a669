package forwarder

import (
	"time"

	"limpetrail/matcher"
)

const (
	// queueShare is the share of the latency target that a call may wait in the queue.
	// The rest is for the first bytes, which take about 60 ms at a full engine.
	queueShare = 0.7
	// firstByteShare is the share of the latency target after which a silent attempt
	// is retried elsewhere, so that the second one can still be in time.
	firstByteShare = 0.5
	// silenceShare is the share of the route's longest allowed pause between events
	// after which a stream is continued elsewhere.
	silenceShare = 0.6
	// minSilence is the shortest silence that counts as a fault: an engine that reads
	// a long prompt pauses its other streams for that long.
	minSilence = 100 * time.Millisecond
	// resumeQueueLimit is how long a stream that broke off waits for a place: its
	// caller gives up after about two seconds of silence.
	resumeQueueLimit = time.Second
	// defaultTarget applies to routes without a latency target.
	defaultTarget = time.Second
	// maxRejections is how many servers may reject a call before it ends.
	maxRejections = 4
)

// latencyTarget returns the route's latency target, or the default.
func latencyTarget(route *matcher.Route) time.Duration {
	if route.LatencyTarget <= 0 {
		return defaultTarget
	}

	return route.LatencyTarget
}

func fraction(part float64, whole time.Duration) time.Duration {
	return time.Duration(part * float64(whole))
}

// silenceLimit returns how long a stream may be silent before it is continued
// elsewhere.
func silenceLimit(route *matcher.Route) time.Duration {
	if route.EventGapTarget <= 0 {
		return defaultTarget
	}

	return max(minSilence, fraction(silenceShare, route.EventGapTarget))
}
