package meter

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// LatencyBuckets returns the buckets of latency histograms. They range from the time
// of a health check to the longest time that callers wait.
func LatencyBuckets() tally.DurationBuckets {
	return tally.DurationBuckets{
		5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 75 * time.Millisecond,
		100 * time.Millisecond, 150 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond, 500 * time.Millisecond,
		time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second,
	}
}
