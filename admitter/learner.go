package admitter

import "time"

const (
	// harmShare is the share of a window's samples that may miss a target
	// which is stated for 95 in 100.
	harmShare = 0.05
	// paceTokens is the length of the run of tokens over which the time between
	// tokens is averaged: a single step that reads a long prompt is no harm.
	paceTokens = 48
	// paceMargin is the share of the wanted time between tokens that the limit
	// is steered by, so that its swings end within the target.
	paceMargin = 0.95
	// minSamples is the least number of samples that harm is judged from.
	minSamples = 8
	// maxSamples is the number above which older samples lose half their weight.
	maxSamples = 40
	// queuedSteps is the number of engine steps after which a start that has
	// no token is taken to wait inside the engine. Continuous batching begins
	// a stream at the next step, so that its first token is within two.
	queuedSteps = 3
	// queuedShare is the share of such starts that shows that the engine is
	// full; a few long prompts that take several steps do not.
	queuedShare = 0.3
	// limitCut and batchCut are the multiplicative decreases.
	limitCut = 0.9
	batchCut = 0.5
	// batchGrowth is the additive increase of the batch share in a window, as
	// a share of the limit.
	batchGrowth = 0.05
	// slowStart is the growth of the limit in a window before its first cut.
	slowStart = 1.5
	// probeStep is the time between two raises of the limit above its ceiling.
	probeStep = time.Second
	// fullMargin is how far below a full engine the limit stays, and fullMemory
	// how long: whoever comes when places are over waits inside the engine for
	// the end of an answer.
	fullMargin = 2
	fullMemory = time.Minute
	// stayWeight is the weight of the newest stay in the moving average.
	stayWeight = 0.05
	// firstTokenWeight is the weight of the newest first token in the report.
	firstTokenWeight = 0.1
)

// learner holds what an Adaptive has learned about its engine. All samples are
// counted, so that their order within a window makes no difference.
type learner struct {
	// bearable is the learned limit, at least 1.
	bearable float64
	// share is the learned bound of batch, at least 1.
	share float64
	// probed is set at the first cut, when the engine's bound is known.
	probed bool
	// step counts the engine's steps, as seen from the tokens of its streams.
	step uint64
	// clock tells when the running step ends.
	clock stepClock
	// windowEnd is when the present window is judged.
	windowEnd time.Time
	// intervals and firsts count samples of this and earlier windows against
	// the policy's targets; starts those that waited inside the engine.
	intervals, firsts, starts score
	// active is set when the window has seen a token.
	active bool
	// peak is the most places held at once in the window.
	peak int
	// ceiling is the limit that the engine was last seen to bear; above it the
	// limit grows slowly, from growAt on. Zero before the first cut.
	ceiling float64
	growAt  time.Time
	// full is the fewest places in use beside a start that waited inside the
	// engine. Until fullUntil the limit stays below it.
	full      int
	fullUntil time.Time
	// meanStay is the moving average of the time online requests hold a place;
	// zero before the first.
	meanStay time.Duration
	// firstToken is the moving average of the time to the first online token.
	firstToken time.Duration
	// lastToken is when any stream last had a token, or began to wait for one
	// with no other running.
	lastToken time.Time
	// stalledUntil is the end of the last silence of the engine.
	stalledUntil time.Time
}

// score counts samples and those that missed their target.
type score struct {
	samples, missed float64
}

func (score *score) add(missed bool) {
	score.samples++

	if missed {
		score.missed++
	}
}

func (score *score) fade() {
	if score.samples > maxSamples {
		score.samples /= 2
		score.missed /= 2
	}
}

// exceeds tells whether more than the share of the samples missed.
func (score *score) exceeds(share float64) bool {
	return score.samples >= minSamples && score.missed > share*score.samples
}

func newLearner(settings Settings) learner {
	return learner{bearable: float64(settings.Places), share: float64(settings.Places)}
}

// limit is how many requests the engine bears.
func (learner *learner) limit() int { return max(1, int(learner.bearable)) }

// batchCap is how many of them may be batch.
func (learner *learner) batchCap() int { return max(1, int(learner.share)) }

// observe takes in a token of a place.
func (adaptive *Adaptive) observe(place *adaptivePlace, now time.Time) {
	if place.tokens > 0 && place.lastStep == adaptive.step {
		adaptive.step++
		adaptive.clock.end(now)
	}

	if now.Sub(adaptive.lastToken) > adaptive.policy.FirstToken {
		adaptive.stalledUntil = now
	}

	adaptive.active = true
	adaptive.lastToken = now
	place.lastStep = adaptive.step
	place.tokens++

	switch {
	case place.tokens == 1:
		adaptive.observeFirst(place, now)
		place.paceBegin = now
	case place.tokens%paceTokens == 1:
		adaptive.observePace(place, now)
		place.paceBegin = now
	}

	if place.tokens == 1 || !now.Before(adaptive.windowEnd) {
		adaptive.schedule(now)
	}
}

// observePace takes in the time of the last run of tokens.
func (adaptive *Adaptive) observePace(place *adaptivePlace, now time.Time) {
	if place.paceBegin.After(adaptive.stalledUntil) {
		wanted := time.Duration(paceMargin * paceTokens * float64(adaptive.policy.TokenInterval))
		adaptive.intervals.add(now.Sub(place.paceBegin) > wanted)
	}
}

func (adaptive *Adaptive) observeFirst(place *adaptivePlace, now time.Time) {
	if !place.granted.After(adaptive.stalledUntil) {
		return
	}

	queued := adaptive.step-place.grantedStep > queuedSteps
	adaptive.starts.add(queued)

	if queued && adaptive.ceiling > 0 && float64(place.beside) > adaptive.ceiling {
		adaptive.keepBelow(place.beside, now)
	}

	if place.ticket.Batch {
		return
	}

	taken := now.Sub(place.granted)
	adaptive.firstToken = average(adaptive.firstToken, taken, firstTokenWeight)
	adaptive.firsts.add(taken > adaptive.policy.FirstToken)
}

// observeStay takes in how long an online request held its place, unless the
// engine stood still meanwhile: that says nothing about its pace now.
func (adaptive *Adaptive) observeStay(place *adaptivePlace, now time.Time) {
	if place.granted.After(adaptive.stalledUntil) {
		adaptive.meanStay = average(adaptive.meanStay, now.Sub(place.granted), stayWeight)
	}
}

// keepBelow holds the limit below the places at which a start has waited inside
// the engine. Only those above the limit that the engine was seen to bear count,
// so that a slow prompt cannot lower it.
func (adaptive *Adaptive) keepBelow(places int, now time.Time) {
	if now.After(adaptive.fullUntil) || places < adaptive.full {
		adaptive.full = places
	}

	adaptive.fullUntil = now.Add(fullMemory)
	adaptive.bearable = min(adaptive.bearable, adaptive.below())
}

// below is the limit that leaves the engine room for those who come at once.
func (learner *learner) below() float64 { return float64(max(1, learner.full-fullMargin)) }

func average(mean, sample time.Duration, weight float64) time.Duration {
	if mean == 0 {
		return sample
	}

	return mean + time.Duration(weight*float64(sample-mean))
}

// judge ends the window if it is over and moves the limits.
func (adaptive *Adaptive) judge(now time.Time) {
	if now.Before(adaptive.windowEnd) {
		return
	}

	harm := adaptive.intervals.exceeds(harmShare) || adaptive.firsts.exceeds(harmShare)

	switch {
	case harm && adaptive.runningBatch > 0:
		adaptive.share = max(1, batchCut*float64(adaptive.runningBatch))
		adaptive.forget()
	case adaptive.peak > adaptive.limit():
		// The last cut has not taken effect yet: online requests that hold a
		// place keep it.
		adaptive.forget()
	case adaptive.starts.exceeds(queuedShare):
		adaptive.cut()
		adaptive.ceiling = adaptive.bearable
		adaptive.growAt = now.Add(adaptive.Settings.Probe)
	case harm:
		adaptive.cut()
	default:
		adaptive.grow(now)
	}

	adaptive.intervals.fade()
	adaptive.firsts.fade()
	adaptive.starts.fade()
	adaptive.active = false
	adaptive.peak = adaptive.runningOnline + adaptive.runningBatch
	adaptive.windowEnd = now.Add(adaptive.Settings.Window)
}

// cut lowers the limit from what was in use.
func (learner *learner) cut() {
	learner.bearable = max(1, limitCut*min(learner.bearable, float64(max(learner.peak, 1))))
	learner.probed = true
	learner.forget()
}

// forget drops the samples that a cut was made for.
func (learner *learner) forget() {
	learner.intervals, learner.firsts, learner.starts = score{}, score{}, score{}
}

// grow raises the bounds that the window has used up.
func (adaptive *Adaptive) grow(now time.Time) {
	highest := float64(adaptive.Settings.MaxPlaces)
	if now.Before(adaptive.fullUntil) {
		highest = min(highest, adaptive.below())
	}

	if adaptive.runningBatch >= adaptive.batchCap() {
		adaptive.share = min(highest, adaptive.share+max(1, batchGrowth*adaptive.bearable))
	}

	if !adaptive.active || adaptive.peak < adaptive.limit() {
		return
	}

	switch {
	case !adaptive.probed:
		adaptive.bearable = min(highest, adaptive.bearable*slowStart)
	case adaptive.intervals.samples < 2*minSamples:
		// The last change has not shown yet whether it does harm.
	case adaptive.bearable < adaptive.ceiling || adaptive.ceiling == 0:
		adaptive.bearable = max(adaptive.bearable, min(highest, adaptive.bearable+1))
	case now.After(adaptive.growAt):
		adaptive.bearable = max(adaptive.bearable, min(highest, adaptive.bearable+1))
		adaptive.growAt = now.Add(probeStep)
	}
}

// waitFor predicts how long a ticket with that many ahead of it waits, from
// the pace at which online places come free (Little's law).
func (adaptive *Adaptive) waitFor(ahead int, now time.Time) time.Duration {
	if adaptive.silent(now) {
		return adaptive.Settings.MaxRetryAfter
	}

	ahead += max(0, adaptive.runningOnline-adaptive.limit())

	return time.Duration(ahead+1) * adaptive.meanStay / time.Duration(adaptive.limit())
}

// waitForFirm predicts how long a ticket waits behind that many of its own firm,
// from the places that the firm may hold.
func (adaptive *Adaptive) waitForFirm(name string, queued int, now time.Time) time.Duration {
	running := adaptive.firm(name, now).running
	left := adaptive.limit() - (adaptive.runningOnline - running) - adaptive.kept(name, now)
	bound := max(1, left, int(adaptive.guaranteed(name, now)))

	return time.Duration(queued+1+max(0, running-bound)) * adaptive.meanStay / time.Duration(bound)
}

// silent tells whether the engine has yielded nothing for too long.
func (adaptive *Adaptive) silent(now time.Time) bool {
	return adaptive.step > 0 && now.Sub(adaptive.lastToken) > adaptive.policy.FirstToken
}
