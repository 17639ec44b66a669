package admitter

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"limpetrail/classifier"
)

// Adaptive learns how many requests its engine can run at once, admits online
// requests first and gives batch items the remaining capacity. It has no
// goroutine of its own: calls from its places, waiting requests and a timer
// within an engine step drive it.
type Adaptive struct {
	Settings Settings

	mutex  sync.Mutex
	policy Policy
	random *rand.Rand
	// online holds the waiting online requests by firm. A request waits while
	// online requests hold every place within the limit, while places are kept
	// free for other firms, or while its firm's starts are paced.
	online *FairQueue[string, *waiter]
	// batch holds the waiting batch items by due time.
	batch *SortedQueue[*waiter]
	// places holds every place not yet released.
	places map[*adaptivePlace]struct{}
	// runningOnline and runningBatch count the places that are not preempted.
	// While they exceed the limit together, batch items are preempted; online
	// requests keep their places.
	runningOnline int
	runningBatch  int
	// firms holds the recently active firms.
	firms map[string]*firm
	// wakeTimer is the pending call of onWakeTimer; nil if there is none.
	wakeTimer *time.Timer
	// placesGranted counts the granted places and numbers them.
	placesGranted uint64
	learner
}

var _ Admitter = (*Adaptive)(nil)

// NewAdaptive returns an admitter for one backend server.
func NewAdaptive(options ...Option) *Adaptive {
	adaptive := &Adaptive{
		Settings: DefaultSettings(),
		policy:   DefaultPolicy(),
		online:   NewFairQueue[string, *waiter](),
		batch:    NewSortedQueue(compareDue),
		places:   map[*adaptivePlace]struct{}{},
		firms:    map[string]*firm{},
	}
	for _, option := range options {
		option(adaptive)
	}

	adaptive.random = rand.New(rand.NewPCG(adaptive.Settings.Seed, 0))
	adaptive.learner = newLearner(adaptive.Settings)

	return adaptive
}

// SetPolicy applies a policy to all waiting and running requests.
func (adaptive *Adaptive) SetPolicy(policy Policy) {
	adaptive.mutex.Lock()
	defer adaptive.mutex.Unlock()

	adaptive.policy = policy
	adaptive.schedule(time.Now())
}

// Acquire implements Admitter.
func (adaptive *Adaptive) Acquire(ctx context.Context, request PlaceRequest) (Place, classifier.Outcome) {
	waiter := adaptive.enqueue(ctx, request)
	expiry := time.NewTimer(time.Until(waiter.expiry))

	defer expiry.Stop()

	// A batch item polls for free capacity, since no other event may trigger
	// scheduling. An online request needs no polling: tokens and releases of
	// the running requests trigger it.
	var ticks <-chan time.Time

	if request.Batch {
		ticker := time.NewTicker(adaptive.Settings.Window)
		defer ticker.Stop()

		ticks = ticker.C
	}

	for {
		select {
		case <-waiter.decided:
		case <-ticks:
			adaptive.reschedule()

			continue
		case <-expiry.C:
			adaptive.expire(waiter)
		case <-ctx.Done():
			adaptive.refuseWaiting(waiter, "the request was cancelled while it waited")
		}

		if waiter.place == nil {
			return nil, waiter.refusal
		}

		return waiter.place, classifier.Outcome{}
	}
}

// Report implements Admitter.
func (adaptive *Adaptive) Report() Report {
	adaptive.mutex.Lock()
	defer adaptive.mutex.Unlock()

	return Report{
		RunningOnline: adaptive.runningOnline,
		QueuedOnline:  adaptive.online.Len(),
		RunningBatch:  adaptive.runningBatch,
		Limit:         adaptive.limit(),
		FirstToken:    adaptive.firstToken,
		BatchCapacity: max(0, adaptive.batchStartLimit()-adaptive.runningBatch-adaptive.batch.Len()),
	}
}

// enqueue queues the request or refuses it at once.
func (adaptive *Adaptive) enqueue(ctx context.Context, request PlaceRequest) *waiter {
	adaptive.mutex.Lock()
	defer adaptive.mutex.Unlock()

	now := time.Now()
	waiter := newWaiter(request, request.Deadline)

	switch {
	case ctx.Err() != nil || !now.Before(request.Deadline):
		adaptive.refuse(waiter, "the deadline has passed", now)
	case request.Batch && adaptive.batch.Len() >= adaptive.Settings.MaxQueued:
		adaptive.refuse(waiter, "too many batch items wait here", now)
	case request.Batch:
		adaptive.batch.Push(waiter)
	default:
		adaptive.enqueueOnline(waiter, now)
	}

	adaptive.schedule(now)

	return waiter
}

// maxWaitShare is the share of its allowed wait that a request's predicted wait
// may take up. Places become free at irregular intervals, and a request that
// waits in vain gets its refusal late.
const maxWaitShare = 0.5

// maxPacedWaitShare is the same for a firm whose starts are paced beside other
// firms: places become free for it even less regularly.
const maxPacedWaitShare = 0.15

// enqueueOnline queues an online request unless it could not start in time.
func (adaptive *Adaptive) enqueueOnline(waiter *waiter, now time.Time) {
	request := waiter.request
	weight := adaptive.policy.weight(request.Firm)
	allowed := min(adaptive.policy.MaxWait, request.Deadline.Sub(now))
	waiter.expiry = now.Add(allowed)

	record := adaptive.firm(request.Firm, now)
	record.recordArrival(now)

	if adaptive.freePlacesFor(request.Firm, now) > adaptive.waitingAhead(request.Firm, now) {
		adaptive.pushOnline(waiter, weight)

		return
	}

	ahead, waiting := adaptive.online.Ahead(request.Firm, weight), adaptive.online.Len()
	wait := max(adaptive.predictWait(ahead, now), adaptive.predictFirmWait(request.Firm, record.queued, now))

	waitShare := maxWaitShare

	if adaptive.isPaced(request.Firm, now) {
		waitShare = maxPacedWaitShare
	}

	if float64(wait) > waitShare*float64(allowed) || adaptive.online.Len() >= adaptive.Settings.MaxQueued {
		adaptive.refuse(waiter, "the queue is longer than the request may wait", now)

		return
	}

	adaptive.pushOnline(waiter, weight)

	if ahead < waiting {
		adaptive.refuseOvertaken(now)
	}
}

func (adaptive *Adaptive) pushOnline(waiter *waiter, weight float64) {
	adaptive.online.Push(waiter.request.Firm, weight, waiter)
	adaptive.firms[waiter.request.Firm].queued++
}

// removeOnline removes a waiter from the online queue and reports whether it
// was still there.
func (adaptive *Adaptive) removeOnline(waiter *waiter) bool {
	if !adaptive.online.Remove(waiter) {
		return false
	}

	adaptive.firms[waiter.request.Firm].queued--

	return true
}

// refuseOvertaken refuses at once the waiting requests that a later arrival of
// another firm has delayed beyond their allowed wait.
func (adaptive *Adaptive) refuseOvertaken(now time.Time) {
	ahead := 0

	for _, waiter := range adaptive.online.All() {
		if now.Add(adaptive.predictWait(ahead, now)).After(waiter.expiry) {
			adaptive.removeOnline(waiter)
			adaptive.refuse(waiter, "requests of other firms go first", now)

			continue
		}

		ahead++
	}
}

func (adaptive *Adaptive) reschedule() {
	adaptive.mutex.Lock()
	defer adaptive.mutex.Unlock()

	adaptive.schedule(time.Now())
}

// maxOvershoot is the share of the limit by which running requests may exceed
// it. It admits requests that were queued on a wrong prediction, and those of
// firms below their share.
const maxOvershoot = 0.25

// expire ends a wait that has reached its maximum. A request that was queued on
// a predicted wait starts now instead of being refused late; places over the
// limit count as a longer queue until they are released. If no hold time is
// known, the engine has stalled, the deadline has passed or the overshoot is
// used up, the request is refused.
func (adaptive *Adaptive) expire(waiter *waiter) {
	adaptive.mutex.Lock()

	now := time.Now()
	maxRunning := (1 + maxOvershoot) * float64(adaptive.limit())
	admissible := !waiter.request.Batch && adaptive.meanHoldTime > 0 && !adaptive.engineStalled(now) &&
		now.Before(waiter.request.Deadline) && float64(adaptive.runningOnline) < maxRunning

	if admissible && adaptive.removeOnline(waiter) {
		adaptive.grant(waiter, now)
		adaptive.schedule(now)
	}

	adaptive.mutex.Unlock()
	adaptive.refuseWaiting(waiter, "no place at the backend server in time")
}

// refuseWaiting refuses a waiter that is still queued. If it was granted a
// place at the same moment, it keeps the place.
func (adaptive *Adaptive) refuseWaiting(waiter *waiter, reason string) {
	adaptive.mutex.Lock()
	defer adaptive.mutex.Unlock()

	if adaptive.removeOnline(waiter) || adaptive.batch.Remove(waiter) {
		now := time.Now()
		adaptive.refuse(waiter, reason, now)
		adaptive.schedule(now)
	}
}

func (adaptive *Adaptive) refuse(waiter *waiter, reason string, now time.Time) {
	waiter.refusal = classifier.NewNotRun(reason, adaptive.retryAfter(now))
	close(waiter.decided)
}

// retryAfter is the time in which the queue drains, at least the policy's MaxWait,
// plus a random time of up to as much again, so that refused callers do not retry all at once.
func (adaptive *Adaptive) retryAfter(now time.Time) time.Duration {
	drain := min(adaptive.Settings.MaxRetryAfter, adaptive.predictWait(adaptive.online.Len(), now))
	drain = max(drain, adaptive.policy.MaxWait)

	return drain + time.Duration(adaptive.random.Int64N(int64(drain)+1))
}

// release removes a place and grants its capacity to waiting requests.
func (adaptive *Adaptive) release(place *adaptivePlace, now time.Time) {
	delete(adaptive.places, place)

	switch {
	case place.revoked:
	case place.request.Batch:
		adaptive.runningBatch--
	default:
		adaptive.runningOnline--
		adaptive.firm(place.request.Firm, now).running--
		adaptive.observeHoldTime(place, now)
	}

	adaptive.schedule(now)
}
