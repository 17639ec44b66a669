package admitter

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"limpetrail/classifier"
)

// Adaptive learns how many requests its engine bears, lets online requests in
// first, and gives batch what is left. It has no goroutine of its own: each
// call of its places, each waiting ticket and a timer within a step advance it.
type Adaptive struct {
	Settings Settings

	mutex  sync.Mutex
	policy Policy
	random *rand.Rand
	// online holds the waiting online tickets by firm. One waits only while
	// every place within the limit is held by online requests.
	online *FairQueue[string, *waiter]
	// batch holds the waiting batch tickets by due time.
	batch *SortedQueue[*waiter]
	// places holds every place not yet left.
	places map[*adaptivePlace]struct{}
	// runningOnline and runningBatch count the places that have not been
	// taken back: at most limit together, but for batch being taken back.
	runningOnline int
	runningBatch  int
	// firms holds the firms seen lately.
	firms map[string]*firm
	// waking is the pending call of woken; nil for none.
	waking *time.Timer
	// grants numbers the places.
	grants uint64
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

// SetPolicy puts a policy in force for everything that waits or runs.
func (adaptive *Adaptive) SetPolicy(policy Policy) {
	adaptive.mutex.Lock()
	defer adaptive.mutex.Unlock()

	adaptive.policy = policy
	adaptive.schedule(time.Now())
}

// Enter implements Admitter.
func (adaptive *Adaptive) Enter(ctx context.Context, ticket Ticket) (Place, classifier.Outcome) {
	waiter := adaptive.join(ctx, ticket)
	expiry := time.NewTimer(time.Until(waiter.expiry))

	defer expiry.Stop()

	// A batch ticket looks for slack by itself, since nothing else may happen.
	// An online one waits for those that run, whose tokens and ends move it on.
	var ticks <-chan time.Time

	if ticket.Batch {
		ticker := time.NewTicker(adaptive.Settings.Window)
		defer ticker.Stop()

		ticks = ticker.C
	}

	for {
		select {
		case <-waiter.settled:
		case <-ticks:
			adaptive.tick()

			continue
		case <-expiry.C:
			adaptive.expire(waiter)
		case <-ctx.Done():
			adaptive.giveUp(waiter, "the request was cancelled while it waited")
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
		BatchRoom:     max(0, adaptive.batchBound()-adaptive.runningBatch-adaptive.batch.Len()),
	}
}

// join queues the ticket, or settles it at once.
func (adaptive *Adaptive) join(ctx context.Context, ticket Ticket) *waiter {
	adaptive.mutex.Lock()
	defer adaptive.mutex.Unlock()

	now := time.Now()
	waiter := newWaiter(ticket, ticket.Deadline)

	switch {
	case ctx.Err() != nil || !now.Before(ticket.Deadline):
		adaptive.refuse(waiter, "the deadline has passed", now)
	case ticket.Batch && adaptive.batch.Len() >= adaptive.Settings.MaxQueued:
		adaptive.refuse(waiter, "too many batch items wait here", now)
	case ticket.Batch:
		adaptive.batch.Push(waiter)
	default:
		adaptive.joinOnline(waiter, now)
	}

	adaptive.schedule(now)

	return waiter
}

// queueMargin is the share of the time a request may wait that its predicted
// wait may take up: places come free unevenly, and who waits in vain has
// waited for a refusal.
const queueMargin = 0.5

// pacedMargin is the same for a firm whose starts are paced beside others, whose
// places come free to it less evenly still.
const pacedMargin = 0.15

// joinOnline queues an online ticket unless it could not start in time.
func (adaptive *Adaptive) joinOnline(waiter *waiter, now time.Time) {
	ticket := waiter.ticket
	share := adaptive.policy.share(ticket.Firm)
	allowed := min(adaptive.policy.MaxWait, ticket.Deadline.Sub(now))
	waiter.expiry = now.Add(allowed)

	record := adaptive.firm(ticket.Firm, now)
	record.arrive(now)

	if adaptive.roomFor(ticket.Firm, now) > adaptive.waitingBefore(ticket.Firm, now) {
		adaptive.push(waiter, share)

		return
	}

	ahead, waiting := adaptive.online.Ahead(ticket.Firm, share), adaptive.online.Len()
	wait := max(adaptive.waitFor(ahead, now), adaptive.waitForFirm(ticket.Firm, record.queued, now))

	margin := queueMargin

	if adaptive.paced(ticket.Firm, now) {
		margin = pacedMargin
	}

	if float64(wait) > margin*float64(allowed) || adaptive.online.Len() >= adaptive.Settings.MaxQueued {
		adaptive.refuse(waiter, "the queue is longer than the request may wait", now)

		return
	}

	adaptive.push(waiter, share)

	if ahead < waiting {
		adaptive.refuseOvertaken(now)
	}
}

func (adaptive *Adaptive) push(waiter *waiter, share float64) {
	adaptive.online.Push(waiter.ticket.Firm, share, waiter)
	adaptive.firms[waiter.ticket.Firm].queued++
}

// remove takes a waiter out of the online queue, if it is still there.
func (adaptive *Adaptive) remove(waiter *waiter) bool {
	if !adaptive.online.Remove(waiter) {
		return false
	}

	adaptive.firms[waiter.ticket.Firm].queued--

	return true
}

// refuseOvertaken refuses at once those whom a later arrival of another firm
// has pushed back beyond the time they may wait.
func (adaptive *Adaptive) refuseOvertaken(now time.Time) {
	kept := 0

	for _, waiter := range adaptive.online.All() {
		if now.Add(adaptive.waitFor(kept, now)).After(waiter.expiry) {
			adaptive.remove(waiter)
			adaptive.refuse(waiter, "requests of other firms go first", now)

			continue
		}

		kept++
	}
}

func (adaptive *Adaptive) tick() {
	adaptive.mutex.Lock()
	defer adaptive.mutex.Unlock()

	adaptive.schedule(time.Now())
}

// overshoot is the share of the limit by which places may exceed it for those
// that were let wait and whose prediction was wrong.
const overshoot = 0.25

// expire ends a wait at its age limit. A request that was let wait on a
// prediction starts now, so that it has not waited for a refusal; the places
// over the limit count as a longer queue until they are free again. With no
// pace known, a silent engine or no deadline left it is refused.
func (adaptive *Adaptive) expire(waiter *waiter) {
	adaptive.mutex.Lock()

	now := time.Now()
	most := (1 + overshoot) * float64(adaptive.limit())
	due := !waiter.ticket.Batch && adaptive.meanStay > 0 && !adaptive.silent(now) &&
		now.Before(waiter.ticket.Deadline) && float64(adaptive.runningOnline) < most

	if due && adaptive.remove(waiter) {
		adaptive.grant(waiter, now)
		adaptive.schedule(now)
	}

	adaptive.mutex.Unlock()
	adaptive.giveUp(waiter, "no place at the backend server in time")
}

// giveUp refuses a waiter that is not settled yet. A place that it has been
// given in the same moment stays its own.
func (adaptive *Adaptive) giveUp(waiter *waiter, reason string) {
	adaptive.mutex.Lock()
	defer adaptive.mutex.Unlock()

	if adaptive.remove(waiter) || adaptive.batch.Remove(waiter) {
		now := time.Now()
		adaptive.refuse(waiter, reason, now)
		adaptive.schedule(now)
	}
}

func (adaptive *Adaptive) refuse(waiter *waiter, reason string, now time.Time) {
	waiter.refusal = classifier.Refuse(reason, adaptive.retryAfter(now))
	close(waiter.settled)
}

// retryAfter is the time in which the queue drains, and up to as much again
// so that the refused do not come back together.
func (adaptive *Adaptive) retryAfter(now time.Time) time.Duration {
	drain := min(adaptive.Settings.MaxRetryAfter, adaptive.waitFor(adaptive.online.Len(), now))
	drain = max(drain, adaptive.policy.MaxWait)

	return drain + time.Duration(adaptive.random.Int64N(int64(drain)+1))
}

// leave takes a place out and passes its room on.
func (adaptive *Adaptive) leave(place *adaptivePlace, now time.Time) {
	delete(adaptive.places, place)

	switch {
	case place.taken:
	case place.ticket.Batch:
		adaptive.runningBatch--
	default:
		adaptive.runningOnline--
		adaptive.firm(place.ticket.Firm, now).running--
		adaptive.observeStay(place, now)
	}

	adaptive.schedule(now)
}
