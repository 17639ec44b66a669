package admitter

import "time"

const (
	// maxMissShare is the share of a window's samples that may miss a target
	// which is stated for 95 in 100.
	maxMissShare = 0.05
	// intervalTokens is the number of tokens over which the time between tokens
	// is averaged, so that a single step that reads a long prompt does not
	// count as a miss.
	intervalTokens = 48
	// intervalMargin is the share of the target time between tokens that
	// samples are compared with, so that the oscillation of the limit stays
	// within the target.
	intervalMargin = 0.95
	// minSamples is the least number of samples that misses are judged from.
	minSamples = 8
	// maxSamples is the number above which older samples lose half their weight.
	maxSamples = 40
	// maxFirstTokenSteps is the number of engine steps after which a start
	// without a token counts as queued inside the engine. Continuous batching
	// begins a stream at the next step, so that its first token comes within
	// two steps.
	maxFirstTokenSteps = 3
	// maxQueuedStartShare is the share of queued starts above which the engine
	// counts as full; a few long prompts that take several steps stay below it.
	maxQueuedStartShare = 0.3
	// limitDecrease and batchDecrease are the factors of the multiplicative
	// decreases.
	limitDecrease = 0.9
	batchDecrease = 0.5
	// batchIncrease is the additive increase of the batch limit per window, as
	// a share of the limit.
	batchIncrease = 0.05
	// slowStartGrowth is the growth factor of the limit per window before its
	// first cut.
	slowStartGrowth = 1.5
	// probeInterval is the time between two increases of the limit above its
	// ceiling.
	probeInterval = time.Second
	// fullMargin is how far the limit stays below the number of places at which
	// the engine was full, and fullExpiry for how long: a request beyond the
	// engine's capacity waits inside it until another one finishes.
	fullMargin = 2
	fullExpiry = time.Minute
	// holdTimeWeight is the weight of the newest sample in the average hold
	// time.
	holdTimeWeight = 0.05
	// firstTokenWeight is the weight of the newest sample in the reported
	// average time to the first token.
	firstTokenWeight = 0.1
)

// learner holds what an Adaptive has learned about its engine. All samples are
// only counted, so that their order within a window makes no difference.
type learner struct {
	// learnedLimit is how many requests the engine can run at once, at least 1.
	learnedLimit float64
	// learnedBatchLimit is how many of them may be batch items, at least 1.
	learnedBatchLimit float64
	// wasCut is set at the first cut of the limit; from then on the engine's
	// capacity is known.
	wasCut bool
	// step counts the engine's steps, as derived from the tokens of its
	// streams.
	step uint64
	// clock estimates when the running step ends.
	clock stepClock
	// windowEnd is when the present window ends and the limits are adjusted.
	windowEnd time.Time
	// tokenIntervals and firstTokens count samples of this and earlier windows
	// against the policy's targets; queuedStarts counts the starts queued
	// inside the engine.
	tokenIntervals, firstTokens, queuedStarts missRate
	// sawToken is set when the window has seen a token.
	sawToken bool
	// peak is the most places held at once in the window.
	peak int
	// ceiling is the limit set when the engine was last found full; above it
	// the limit grows slowly, from nextGrowth on. Zero before that.
	ceiling    float64
	nextGrowth time.Time
	// fullPlaces is the fewest places in use at which a start was queued inside
	// the engine. Until fullUntil the limit stays below it.
	fullPlaces int
	fullUntil  time.Time
	// meanHoldTime is the moving average of the time for which online requests
	// hold a place; zero before the first sample.
	meanHoldTime time.Duration
	// firstToken is the moving average of the time to the first online token.
	firstToken time.Duration
	// lastToken is when any stream last got a token, or when a place was last
	// granted while no other was held.
	lastToken time.Time
	// lastStallEnd is when the engine's last stall ended.
	lastStallEnd time.Time
}

// missRate counts samples and those that missed their target.
type missRate struct {
	samples, missed float64
}

func (rate *missRate) add(missed bool) {
	rate.samples++

	if missed {
		rate.missed++
	}
}

func (rate *missRate) decay() {
	if rate.samples > maxSamples {
		rate.samples /= 2
		rate.missed /= 2
	}
}

// exceeds reports whether more than the given share of the samples missed. It
// is false while there are too few samples.
func (rate *missRate) exceeds(share float64) bool {
	return rate.samples >= minSamples && rate.missed > share*rate.samples
}

func newLearner(settings Settings) learner {
	return learner{learnedLimit: float64(settings.Places), learnedBatchLimit: float64(settings.Places)}
}

// limit is how many requests the engine can run at once.
func (learner *learner) limit() int { return max(1, int(learner.learnedLimit)) }

// batchLimit is how many of them may be batch items.
func (learner *learner) batchLimit() int { return max(1, int(learner.learnedBatchLimit)) }

// observeToken records a token of a place.
func (adaptive *Adaptive) observeToken(place *adaptivePlace, now time.Time) {
	if place.tokens > 0 && place.lastStep == adaptive.step {
		adaptive.step++
		adaptive.clock.recordEnd(now)
	}

	if now.Sub(adaptive.lastToken) > adaptive.policy.FirstToken {
		adaptive.lastStallEnd = now
	}

	adaptive.sawToken = true
	adaptive.lastToken = now
	place.lastStep = adaptive.step
	place.tokens++

	switch {
	case place.tokens == 1:
		adaptive.observeFirstToken(place, now)
		place.intervalStart = now
	case place.tokens%intervalTokens == 1:
		adaptive.observeTokenIntervals(place, now)
		place.intervalStart = now
	}

	if place.tokens == 1 || !now.Before(adaptive.windowEnd) {
		adaptive.schedule(now)
	}
}

// observeTokenIntervals records the time of the last run of tokens, unless the
// engine stalled meanwhile.
func (adaptive *Adaptive) observeTokenIntervals(place *adaptivePlace, now time.Time) {
	if place.intervalStart.After(adaptive.lastStallEnd) {
		target := time.Duration(intervalMargin * intervalTokens * float64(adaptive.policy.TokenInterval))
		adaptive.tokenIntervals.add(now.Sub(place.intervalStart) > target)
	}
}

func (adaptive *Adaptive) observeFirstToken(place *adaptivePlace, now time.Time) {
	if !place.granted.After(adaptive.lastStallEnd) {
		return
	}

	queued := adaptive.step-place.grantedStep > maxFirstTokenSteps
	adaptive.queuedStarts.add(queued)

	if queued && adaptive.ceiling > 0 && float64(place.heldAtGrant) > adaptive.ceiling {
		adaptive.observeFull(place.heldAtGrant, now)
	}

	if place.request.Batch {
		return
	}

	elapsed := now.Sub(place.granted)
	adaptive.firstToken = movingAverage(adaptive.firstToken, elapsed, firstTokenWeight)
	adaptive.firstTokens.add(elapsed > adaptive.policy.FirstToken)
}

// observeHoldTime records how long an online request held its place, unless the
// engine stalled meanwhile: that time says nothing about its present speed.
func (adaptive *Adaptive) observeHoldTime(place *adaptivePlace, now time.Time) {
	if place.granted.After(adaptive.lastStallEnd) {
		adaptive.meanHoldTime = movingAverage(adaptive.meanHoldTime, now.Sub(place.granted), holdTimeWeight)
	}
}

// observeFull keeps the limit below the number of places at which a start was
// queued inside the engine. Callers pass only numbers above the ceiling, so
// that a slow prompt cannot lower the limit.
func (adaptive *Adaptive) observeFull(places int, now time.Time) {
	if now.After(adaptive.fullUntil) || places < adaptive.fullPlaces {
		adaptive.fullPlaces = places
	}

	adaptive.fullUntil = now.Add(fullExpiry)
	adaptive.learnedLimit = min(adaptive.learnedLimit, adaptive.fullLimit())
}

// fullLimit is the limit while the engine counts as full. It leaves spare
// capacity for requests that arrive at once.
func (learner *learner) fullLimit() float64 { return float64(max(1, learner.fullPlaces-fullMargin)) }

func movingAverage(mean, sample time.Duration, weight float64) time.Duration {
	if mean == 0 {
		return sample
	}

	return mean + time.Duration(weight*float64(sample-mean))
}

// adjustLimits ends the window if it is over and adjusts the limits.
func (adaptive *Adaptive) adjustLimits(now time.Time) {
	if now.Before(adaptive.windowEnd) {
		return
	}

	missed := adaptive.tokenIntervals.exceeds(maxMissShare) || adaptive.firstTokens.exceeds(maxMissShare)

	switch {
	case missed && adaptive.runningBatch > 0:
		adaptive.learnedBatchLimit = max(1, batchDecrease*float64(adaptive.runningBatch))
		adaptive.resetSamples()
	case adaptive.peak > adaptive.limit():
		// The last cut has not taken effect yet: running online requests keep
		// their places.
		adaptive.resetSamples()
	case adaptive.queuedStarts.exceeds(maxQueuedStartShare):
		adaptive.cutLimit()
		adaptive.ceiling = adaptive.learnedLimit
		adaptive.nextGrowth = now.Add(adaptive.Settings.Probe)
	case missed:
		adaptive.cutLimit()
	default:
		adaptive.growLimits(now)
	}

	adaptive.tokenIntervals.decay()
	adaptive.firstTokens.decay()
	adaptive.queuedStarts.decay()
	adaptive.sawToken = false
	adaptive.peak = adaptive.runningOnline + adaptive.runningBatch
	adaptive.windowEnd = now.Add(adaptive.Settings.Window)
}

// cutLimit lowers the limit to a share of the places that were in use.
func (learner *learner) cutLimit() {
	learner.learnedLimit = max(1, limitDecrease*min(learner.learnedLimit, float64(max(learner.peak, 1))))
	learner.wasCut = true
	learner.resetSamples()
}

// resetSamples drops the samples that led to a cut, so that they cause no
// second one.
func (learner *learner) resetSamples() {
	learner.tokenIntervals, learner.firstTokens, learner.queuedStarts = missRate{}, missRate{}, missRate{}
}

// growLimits raises the limits that the window has used up.
func (adaptive *Adaptive) growLimits(now time.Time) {
	maxLimit := float64(adaptive.Settings.MaxPlaces)
	if now.Before(adaptive.fullUntil) {
		maxLimit = min(maxLimit, adaptive.fullLimit())
	}

	if adaptive.runningBatch >= adaptive.batchLimit() {
		adaptive.learnedBatchLimit = min(maxLimit, adaptive.learnedBatchLimit+max(1, batchIncrease*adaptive.learnedLimit))
	}

	if !adaptive.sawToken || adaptive.peak < adaptive.limit() {
		return
	}

	switch {
	case !adaptive.wasCut:
		adaptive.learnedLimit = min(maxLimit, adaptive.learnedLimit*slowStartGrowth)
	case adaptive.tokenIntervals.samples < 2*minSamples:
		// There are too few samples yet to judge the last change.
	case adaptive.learnedLimit < adaptive.ceiling || adaptive.ceiling == 0:
		adaptive.learnedLimit = max(adaptive.learnedLimit, min(maxLimit, adaptive.learnedLimit+1))
	case now.After(adaptive.nextGrowth):
		adaptive.learnedLimit = max(adaptive.learnedLimit, min(maxLimit, adaptive.learnedLimit+1))
		adaptive.nextGrowth = now.Add(probeInterval)
	}
}

// predictWait predicts how long a request with that many ahead of it waits,
// from the rate at which online places become free (Little's law).
func (adaptive *Adaptive) predictWait(ahead int, now time.Time) time.Duration {
	if adaptive.engineStalled(now) {
		return adaptive.Settings.MaxRetryAfter
	}

	ahead += max(0, adaptive.runningOnline-adaptive.limit())

	return time.Duration(ahead+1) * adaptive.meanHoldTime / time.Duration(adaptive.limit())
}

// predictFirmWait predicts how long a request waits behind that many of its own
// firm, from the places that the firm may hold.
func (adaptive *Adaptive) predictFirmWait(name string, queued int, now time.Time) time.Duration {
	running := adaptive.firm(name, now).running
	available := adaptive.limit() - (adaptive.runningOnline - running) - adaptive.placesKeptFree(name, now)
	maxHeld := max(1, available, int(adaptive.guaranteedPlaces(name, now)))

	return time.Duration(queued+1+max(0, running-maxHeld)) * adaptive.meanHoldTime / time.Duration(maxHeld)
}

// engineStalled reports whether the engine has produced no token for longer
// than the target time to the first token.
func (adaptive *Adaptive) engineStalled(now time.Time) bool {
	return adaptive.step > 0 && now.Sub(adaptive.lastToken) > adaptive.policy.FirstToken
}
