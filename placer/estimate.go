package placer

import (
	"slices"
	"time"
)

const (
	// initialMeanRun is the mean length of a run until one has ended.
	initialMeanRun = 500 * time.Millisecond
	// noServerRetry is the time after which callers retry a service without a usable
	// server; a health check takes about as long to find one.
	noServerRetry = 500 * time.Millisecond
)

// estimateWait returns how long new work waits behind others, given the remaining time of
// each run of this entry. It matters at a peak that exceeds all places, and when callers
// all arrive at one moment: then no place becomes free until the first runs end.
func estimateWait(runs []time.Duration, ahead int, meanRun time.Duration) time.Duration {
	if len(runs) == 0 {
		return meanRun * time.Duration(ahead+1)
	}

	slices.Sort(runs)

	// Each request that is served first occupies its place for a whole run.
	return runs[ahead%len(runs)] + meanRun*time.Duration(ahead/len(runs))
}

// minRemainingShare is the minimum remaining time of a run, as a share of the mean run.
const minRemainingShare = 0.125

// remaining estimates how much longer a run of that age lasts. A run that has exceeded the
// mean is expected to last as long again as it has exceeded it.
func remaining(age, meanRun time.Duration) time.Duration {
	minimum := time.Duration(minRemainingShare * float64(meanRun))
	if age < meanRun {
		return max(minimum, meanRun-age)
	}

	return max(minimum, age-meanRun)
}
